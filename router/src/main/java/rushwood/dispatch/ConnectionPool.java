package rushwood.dispatch;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rushwood.api.AttemptOutcome;
import rushwood.api.HostId;

/**
 * The connections to each host: one errand at a time on each, idle ones reused, the freshest first.
 */
final class ConnectionPool {
  private static final long SWEEP_INTERVAL_NANOS =
      1_000_000_000L; // between looks at idle connections
  // What a host does behind its answer, a close or bytes unasked, would hit the next statement: a
  // connection rests
  // until that is sure to be here and seen. Loopback and one data centre bring it within a
  // millisecond. Harm: a few
  // connections more a host.
  private static final long REUSE_DELAY_NANOS = 2_000_000L;
  private static final int HOST_IDLE_TIMEOUT_DIVISOR =
      2; // idle ones go at this part of the hosts' limit, far from a race
  // Where one that rested breaks at its next use, less rest is safe from then on, down to this;
  // each sweep allows a
  // quarter more. Guards against whatever drops idle connections silently; harm: connections opened
  // more often.
  private static final long MIN_IDLE_NANOS = 100_000_000L;
  private static final int IDLE_GROWTH_DIVISOR = 4;

  // Nothing begins over 0.1 s after its client closed: half of that may pass without a look at the
  // clients.
  private static final long MAX_DISCONNECT_DELAY_NANOS = 50_000_000L;
  // The part of the grace for leaving hosts that may pass between two turns, or in one, without a
  // look at the list.
  private static final int DRAIN_GRACE_DIVISOR = 4;

  private final Map<HostId, EndpointPool> endpoints = new LinkedHashMap<>();
  private final BackendConnection.Connector connector;
  private final EventLoopClock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final ConnectionSettings settings;
  private long maxIdleNanos;
  private int openConnections;

  private static final class EndpointPool {
    InetSocketAddress address;
    final Deque<PooledConnection> idle = new ArrayDeque<>(); // the one longest idle last
    final Set<PooledConnection> awaitingWrite =
        new LinkedHashSet<>(); // for an errand of which nothing is written yet
    boolean removed;
    boolean draining;
  }

  ConnectionPool(
      BackendConnection.Connector connector,
      EventLoopClock clock,
      TimerQueue timers,
      Counters counters,
      ConnectionSettings settings) {
    this.connector = connector;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    this.settings = settings;
    maxIdleNanos = settings.hostIdleTimeoutNanos() / HOST_IDLE_TIMEOUT_DIVISOR;
    timers.schedule(clock.now() + SWEEP_INTERVAL_NANOS, this::closeExpiredIdle);
  }

  /** Where a host is; connections that stand idle to another address are closed. */
  void updateAddress(HostId hostId, InetSocketAddress address, boolean ready) {
    EndpointPool endpoint = endpoints.computeIfAbsent(hostId, each -> new EndpointPool());
    endpoint.draining &= !ready;
    if (!address.equals(endpoint.address)) {
      closeIdleConnections(endpoint);
      endpoint.address = address;
    }
  }

  /** It is gone for good: of what is still out there nothing comes back to be used again. */
  void remove(HostId hostId) {
    EndpointPool endpoint = endpoints.remove(hostId);
    if (endpoint != null) {
      endpoint.removed = true;
      startDraining(endpoint);
    }
  }

  int endpointCount() {
    return endpoints.size();
  }

  /** Nothing new is wanted there. */
  void drain(HostId hostId) {
    EndpointPool endpoint = endpoints.get(hostId);
    if (endpoint != null) {
      startDraining(endpoint);
    }
  }

  /**
   * What was chosen for it and waits for its connection is not begun: its grace may be over before
   * that is up.
   */
  private void startDraining(EndpointPool endpoint) {
    endpoint.draining = true;
    closeIdleConnections(endpoint);
    List.copyOf(endpoint.awaitingWrite).forEach(PooledConnection::withhold);
  }

  private static void closeIdleConnections(EndpointPool endpoint) {
    while (!endpoint.idle.isEmpty()) {
      endpoint.idle.pop().close();
    }
  }

  /** Runs an errand on an idle connection or a new one; false if no socket may be had. */
  boolean execute(Exchange exchange) {
    EndpointPool endpoint = endpoints.get(exchange.host);
    if (!counters.checkInvariant(endpoint != null, "a host of the list")) {
      return false;
    }
    if (endpoint.draining) {
      counters.increment(Counter.ATTEMPTS_WITHHELD);
      return false;
    }
    PooledConnection connection = takeReusable(endpoint);
    if (connection != null) {
      counters.increment(Counter.CONNECTIONS_REUSED);
      connection.idleBeforeUseNanos = clock.now() - connection.idleSince;
      connection.assign(exchange);
      connection.writeOrDefer();
      return true;
    }
    if (!exchange.isProbe() && !settings.backoff().isAttemptAllowed(exchange.host, clock.now())) {
      counters.increment(Counter.CONNECTS_SUPPRESSED);
      return false;
    }
    if (openConnections >= settings.descriptors().maxBackends() && !closeOldestIdle()) {
      return false;
    }
    counters.increment(Counter.CONNECTIONS_OPENED);
    new PooledConnection(exchange.host, endpoint).connect(exchange);
    return true;
  }

  /** The freshest that has rested; the others age, and go before they are of no use. */
  private PooledConnection takeReusable(EndpointPool endpoint) {
    for (Iterator<PooledConnection> each = endpoint.idle.iterator(); each.hasNext(); ) {
      PooledConnection connection = each.next();
      long idleNanos = clock.now() - connection.idleSince;
      if (idleNanos >= REUSE_DELAY_NANOS) {
        each.remove();
        if (idleNanos < maxIdleNanos && connection.backend.isOpen()) {
          return connection;
        }
        connection.close();
      }
    }
    return null;
  }

  /** The errand is no longer waited for: what it may have begun on a connection ends with it. */
  void cancel(Exchange exchange) {
    PooledConnection connection = exchange.connection;
    if (connection != null) {
      connection.exchange = null;
      connection.endpoint.awaitingWrite.remove(connection);
      exchange.connection = null;
      if (connection.awaitingResponse) {
        connection.close();
      }
    }
  }

  private boolean closeOldestIdle() {
    PooledConnection oldest = null;
    for (EndpointPool endpoint : endpoints.values()) {
      PooledConnection candidate = endpoint.idle.peekLast();
      if (candidate != null && (oldest == null || candidate.idleSince < oldest.idleSince)) {
        oldest = candidate;
      }
    }
    if (oldest == null) {
      return false;
    }
    oldest.endpoint.idle.removeLast();
    oldest.close();
    return true;
  }

  /**
   * Closes what stands idle before the host does: a statement that meets such a close may have run.
   */
  private void closeExpiredIdle() {
    timers.schedule(clock.now() + SWEEP_INTERVAL_NANOS, this::closeExpiredIdle);
    maxIdleNanos =
        Math.min(
            settings.hostIdleTimeoutNanos() / HOST_IDLE_TIMEOUT_DIVISOR,
            maxIdleNanos + maxIdleNanos / IDLE_GROWTH_DIVISOR);
    long idleBefore = clock.now() - maxIdleNanos;
    for (EndpointPool endpoint : endpoints.values()) {
      while (!endpoint.idle.isEmpty() && endpoint.idle.peekLast().idleSince <= idleBefore) {
        endpoint.idle.removeLast().close();
      }
    }
  }

  private void adjustOpenConnections(int delta) {
    openConnections += delta;
    settings.descriptors().setOpenBackends(openConnections, clock.now());
  }

  void closeAllIdle() {
    endpoints.values().forEach(ConnectionPool::closeIdleConnections);
  }

  /** One connection and the errand that it is on. */
  final class PooledConnection implements BackendConnection.Listener {
    private final HostId hostId;
    private final EndpointPool endpoint;
    private final InetSocketAddress address;
    private BackendConnection backend;
    private Exchange exchange;
    private TimerQueue.ScheduledTask connectTimeout;
    private boolean awaitingResponse;
    private boolean closed;
    private long idleSince;
    private long idleBeforeUseNanos; // before its last use; 0 at the first

    private PooledConnection(HostId hostId, EndpointPool endpoint) {
      this.hostId = hostId;
      this.endpoint = endpoint;
      address = endpoint.address;
      adjustOpenConnections(1);
    }

    boolean awaitingResponse() {
      return awaitingResponse;
    }

    private void connect(Exchange firstExchange) {
      assign(firstExchange);
      settings.backoff().attemptStarted(hostId);
      connectTimeout =
          timers.schedule(clock.now() + settings.connectTimeoutNanos(), this::connectTimedOut);
      backend = connector.connect(address, this);
    }

    private void assign(Exchange nextExchange) {
      exchange = nextExchange;
      nextExchange.connection = this;
      endpoint.awaitingWrite.add(this);
    }

    /**
     * After a pause news may be here that was not read before this errand was chosen: the first
     * turn after it reads all sockets in no order. So it is written in the turn after that one, if
     * its host is still there.
     */
    private void writeOrDefer() {
      if (clock.isStale(
          Math.min(settings.drainGraceNanos() / DRAIN_GRACE_DIVISOR, MAX_DISCONNECT_DELAY_NANOS))) {
        counters.increment(Counter.ATTEMPTS_DEFERRED);
        timers.schedule(clock.now() + 1, this::writeDeferred);
      } else {
        write();
      }
    }

    private void writeDeferred() {
      if (closed) {
        return;
      }
      if (exchange == null) {
        becomeIdle();
      } else {
        write();
      }
    }

    /** Its host leaves, and nothing of the errand is written. */
    private void withhold() {
      counters.increment(Counter.ATTEMPTS_WITHHELD);
      close();
      completeExchange(BackendResponse.withoutRow(AttemptOutcome.NOT_SENT));
    }

    private void write() {
      endpoint.awaitingWrite.remove(this);
      if (clock.now() >= exchange.writeDeadline) {
        Exchange expired = exchange;
        exchange = null;
        counters.increment(Counter.ATTEMPTS_WITHHELD);
        becomeIdle();
        completeExchange(expired, BackendResponse.withoutRow(AttemptOutcome.NOT_SENT));
        return;
      }
      counters.checkInvariant(!awaitingResponse && !closed, "one errand at a time on a connection");
      awaitingResponse = true;
      backend.send(exchange.encodeStatement(), exchange.isProbe());
    }

    private void connectTimedOut() {
      settings.backoff().attemptFailed(hostId, clock.now());
      counters.increment(Counter.CONNECTIONS_FAILED);
      close();
      completeExchange(BackendResponse.withoutRow(AttemptOutcome.CONNECT_FAILED));
    }

    @Override
    public void connected() {
      connectTimeout.cancel();
      settings.backoff().attemptSucceeded(hostId);
      if (exchange != null) {
        writeOrDefer();
      } else {
        becomeIdle();
      }
    }

    @Override
    public void responseReceived(BackendResponse response, boolean reusable) {
      awaitingResponse = false;
      if (reusable) {
        // Idle before the module hears: it may have the next shot for it at once.
        Exchange finished = exchange;
        exchange = null;
        becomeIdle();
        completeExchange(finished, response);
      } else {
        close();
        completeExchange(response);
      }
    }

    @Override
    public void connectionLost(boolean accepted) {
      boolean connected = !connectTimeout.cancel();
      if (!connected) {
        counters.increment(Counter.CONNECTIONS_FAILED);
        settings.backoff().attemptFailed(hostId, clock.now());
      }
      if (awaitingResponse && idleBeforeUseNanos > MIN_IDLE_NANOS) {
        maxIdleNanos = Math.min(maxIdleNanos, Math.max(MIN_IDLE_NANOS, idleBeforeUseNanos / 2));
      }
      // One that was accepted and breaks unwritten proves that nothing ran, not that the host is
      // down.
      AttemptOutcome outcome =
          !accepted
              ? AttemptOutcome.CONNECT_FAILED
              : awaitingResponse && backend.isStatementWritten()
                  ? AttemptOutcome.CONNECTION_LOST
                  : AttemptOutcome.NOT_SENT;
      endpoint.idle.remove(this);
      close();
      completeExchange(BackendResponse.withoutRow(outcome));
    }

    private void becomeIdle() {
      if (address.equals(endpoint.address) && !endpoint.draining) {
        idleSince = clock.now();
        endpoint.idle.push(this);
      } else {
        close();
      }
    }

    private void completeExchange(BackendResponse response) {
      Exchange finished = exchange;
      exchange = null;
      completeExchange(finished, response);
    }

    private void completeExchange(Exchange finished, BackendResponse response) {
      if (finished == null) {
        response.release();
      } else {
        finished.connection = null;
        finished.complete(response);
      }
    }

    private void close() {
      if (!closed) {
        closed = true;
        endpoint.awaitingWrite.remove(this);
        adjustOpenConnections(-1);
        counters.increment(Counter.CONNECTIONS_CLOSED);
        if (connectTimeout.cancel()) {
          settings.backoff().attemptCancelled(hostId);
        }
        if (backend != null) {
          backend.close();
        }
      }
    }
  }
}
