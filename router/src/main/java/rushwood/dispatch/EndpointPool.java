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

/** The connections to one host. */
final class EndpointPool {
  /**
   * How long a connection is left idle before it is used again. What a host does right after a
   * response, such as a close or excess data, would otherwise be taken for the response to the next
   * statement. On loopback and within a data centre it arrives within a millisecond.
   */
  private static final long REUSE_DELAY_NANOS = 2_000_000L;

  /** The most recently used one first. */
  private final Deque<PooledConnection> idle = new ArrayDeque<>();

  /** Connections with an exchange of which nothing has been written. */
  private final Set<PooledConnection> awaitingWrite = new LinkedHashSet<>();

  private final HostId host;
  private InetSocketAddress address;
  private boolean isDraining;

  EndpointPool(HostId host, InetSocketAddress address) {
    this.host = host;
    this.address = address;
  }

  /**
   * Sets the host's address; idle connections to another one are closed.
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

  /** Whether a connection to that address may be kept for reuse. */
  boolean canReuse(InetSocketAddress connectedAddress) {
    return connectedAddress.equals(address) && !isDraining;
  }

  /**
   * Closes idle connections and withholds exchanges that have not been written: by the time that
   * their connection is up the grace period of the draining host may be over.
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
   * Takes out the most recently used connection that can be used again, if there is one. Those that
   * are found to be broken, or idle for too long, are closed.
   */
  @Nullable PooledConnection takeReusable(long now, long maxIdleNanos) {
    for (Iterator<PooledConnection> connections = idle.iterator(); connections.hasNext(); ) {
      PooledConnection connection = connections.next();
      long idleNanos = now - connection.idleSince();
      if (idleNanos >= REUSE_DELAY_NANOS) {
        connections.remove();
        if (idleNanos < maxIdleNanos && connection.isOpen()) {
          return connection;
        }
        connection.close();
      }
    }
    return null;
  }

  /** The connection that has been idle for longest, if any is idle. */
  @Nullable PooledConnection oldestIdle() {
    return idle.peekLast();
  }

  /** Takes out and closes the connection that has been idle for longest. */
  void closeOldestIdle() {
    idle.removeLast().close();
  }

  /** Closes the connections that have been idle since that time or longer. */
  void closeIdleSince(long time) {
    while (!idle.isEmpty() && idle.peekLast().idleSince() <= time) {
      closeOldestIdle();
    }
  }
}
