package rushwood.dispatch;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import rushwood.api.HostId;

/** Manages the idle connections to one host and those with an unwritten exchange. */
final class EndpointPool {
  /**
   * The minimum time that a connection is left idle before it is reused. A close or excess data
   * that directly follows a response has arrived by then and is found when the socket is read
   * before the reuse; else it would be taken for the response to the next statement. On loopback
   * and within a data centre both arrive within a millisecond.
   */
  private static final long REUSE_DELAY_NANOS = 2_000_000L;

  /** Idle connections, the most recently used first. */
  private final Deque<PooledConnection> idle = new ArrayDeque<>();

  /** Connections whose exchange has not been written. */
  private final Set<PooledConnection> awaitingWrite = new LinkedHashSet<>();

  private final HostId host;
  private InetSocketAddress address;
  private boolean isDraining;

  EndpointPool(HostId host, InetSocketAddress address) {
    this.host = host;
    this.address = address;
  }

  /**
   * Sets the host's address. If it has changed, idle connections are closed.
   *
   * @param ready whether the host is listed as ready, which ends its draining
   */
  void update(InetSocketAddress newAddress, boolean ready) {
    isDraining &= !ready;
    if (!newAddress.equals(address)) {
      closeIdle();
      address = newAddress;
    }
  }

  HostId host() {
    return host;
  }

  InetSocketAddress address() {
    return address;
  }

  boolean isDraining() {
    return isDraining;
  }

  /** Returns whether a connection to the given address may be kept for reuse. */
  boolean canReuse(InetSocketAddress connectedAddress) {
    return connectedAddress.equals(address) && !isDraining;
  }

  /**
   * Closes idle connections and withholds unwritten exchanges: the drain grace of the host may be
   * over by the time that their connections are ready.
   */
  void startDraining() {
    isDraining = true;
    closeIdle();
    List.copyOf(awaitingWrite).forEach(PooledConnection::withholdAndClose);
  }

  void closeIdle() {
    while (!idle.isEmpty()) {
      idle.pop().close();
    }
  }

  void addIdle(PooledConnection connection) {
    idle.push(connection);
  }

  void removeIdle(PooledConnection connection) {
    idle.remove(connection);
  }

  void addAwaitingWrite(PooledConnection connection) {
    awaitingWrite.add(connection);
  }

  void removeAwaitingWrite(PooledConnection connection) {
    awaitingWrite.remove(connection);
  }

  /**
   * Removes and returns the most recently used connection that can be reused, or null if there is
   * none. Closes the connections that it passes over because they are broken, have unexpected input
   * or were idle for too long.
   */
  @Nullable PooledConnection takeReusable(long now, long maxIdleNanos) {
    PooledConnection candidate = removeRested(now);
    while (candidate != null && !isStillUsable(candidate, now, maxIdleNanos)) {
      candidate.close();
      candidate = removeRested(now);
    }
    return candidate;
  }

  /** Removes and returns the most recently used connection whose reuse delay is over, or null. */
  private @Nullable PooledConnection removeRested(long now) {
    for (Iterator<PooledConnection> connections = idle.iterator(); connections.hasNext(); ) {
      PooledConnection connection = connections.next();
      if (now - connection.idleSince() >= REUSE_DELAY_NANOS) {
        connections.remove();
        return connection;
      }
    }
    return null;
  }

  private static boolean isStillUsable(PooledConnection connection, long now, long maxIdleNanos) {
    return now - connection.idleSince() < maxIdleNanos && connection.isReusable();
  }

  /** Returns the longest idle connection, or null if none is idle. */
  @Nullable PooledConnection longestIdle() {
    return idle.peekLast();
  }

  /**
   * Removes and closes the longest idle connection.
   *
   * @throws java.util.NoSuchElementException if none is idle
   */
  void closeLongestIdle() {
    idle.removeLast().close();
  }

  /** Closes the connections that became idle at the given time or earlier. */
  void closeIdleSince(long time) {
    while (!idle.isEmpty() && idle.peekLast().idleSince() <= time) {
      closeLongestIdle();
    }
  }
}
