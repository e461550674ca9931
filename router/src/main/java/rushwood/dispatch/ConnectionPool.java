package rushwood.dispatch;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import rushwood.api.AttemptOutcome;
import rushwood.api.HostId;

/**
 * Pools the connections to all hosts. Each connection carries one exchange at a time. Idle
 * connections are reused, the most recently used first, and are closed before their host would
 * close them.
 */
final class ConnectionPool {
  /** Whether an exchange was assigned to a connection, and if not, why. */
  private enum StartResult {
    /** The exchange was assigned to an idle connection or to a new one. */
    STARTED,
    /** The host is not in the endpoint list, which indicates a bug. */
    HOST_NOT_LISTED,
    /** The {@link WriteGate} withholds the statement. */
    WITHHELD,
    /** No connection is idle, and the connect backoff does not allow a new one. */
    CONNECT_BACKOFF,
    /** No connection is idle, and there is no file descriptor for a new one. */
    NO_DESCRIPTOR
  }

  private static final long SWEEP_INTERVAL_NANOS = 1_000_000_000L;

  private final Map<HostId, EndpointPool> endpoints = new LinkedHashMap<>();
  private final BackendConnection.Connector connector;
  private final EventLoopClock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final ConnectAttempts connectAttempts;
  private final WriteGate writeGate;
  private final OpenConnections openConnections;
  private final IdleLimit idleLimit;

  /** Creates an empty pool and schedules the periodic closing of idle connections. */
  ConnectionPool(
      BackendConnection.Connector connector,
      EventLoopClock clock,
      TimerQueue timers,
      Counters counters,
      WriteGate writeGate,
      ConnectionSettings settings) {
    this.connector = connector;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    this.writeGate = writeGate;
    connectAttempts =
        new ConnectAttempts(
            settings.backoff(), clock, timers, counters, settings.connectTimeoutNanos());
    openConnections = new OpenConnections(settings.descriptors(), clock, counters);
    idleLimit = new IdleLimit(settings.hostIdleTimeoutNanos());
    scheduleSweep();
  }

  /**
   * Adds a host or updates its address.
   *
   * @param ready whether the host is listed as ready, which ends its draining
   */
  void updateEndpoint(HostId host, InetSocketAddress address, boolean ready) {
    endpoints
        .computeIfAbsent(host, added -> new EndpointPool(host, address))
        .update(address, ready);
  }

  /** Stops using a host until it is listed as ready again; does nothing for an unknown host. */
  void drain(HostId host) {
    EndpointPool endpoint = endpoints.get(host);
    if (endpoint != null) {
      endpoint.startDraining();
    }
  }

  /** Removes a host. Each of its connections in use is closed when its exchange ends. */
  void remove(HostId host) {
    EndpointPool endpoint = endpoints.remove(host);
    if (endpoint != null) {
      endpoint.startDraining();
    }
  }

  int endpointCount() {
    return endpoints.size();
  }

  /**
   * Runs an exchange on an idle connection or on a new one. An exchange that cannot start ends at
   * once as {@link AttemptOutcome#NOT_SENT}.
   */
  void execute(Exchange exchange) {
    switch (start(exchange)) {
      case STARTED -> {}
      case WITHHELD -> exchange.complete(writeGate.withhold());
      case HOST_NOT_LISTED, CONNECT_BACKOFF, NO_DESCRIPTOR ->
          exchange.complete(BackendResponse.withoutRow(AttemptOutcome.NOT_SENT));
    }
  }

  private StartResult start(Exchange exchange) {
    EndpointPool endpoint = endpoints.get(exchange.host());
    counters.checkInvariant(endpoint != null, "the host of an exchange is listed");
    if (endpoint == null) {
      return StartResult.HOST_NOT_LISTED;
    }
    if (writeGate.decideAtStart(endpoint) == WriteGate.Decision.WITHHOLD) {
      return StartResult.WITHHELD;
    }
    PooledConnection reusable = endpoint.takeReusable(clock.now(), idleLimit.nanos());
    if (reusable != null) {
      counters.increment(Counter.CONNECTIONS_REUSED);
      reusable.reuse(exchange);
      return StartResult.STARTED;
    }
    if (!connectAttempts.isAllowed(exchange)) {
      counters.increment(Counter.CONNECTS_SUPPRESSED);
      return StartResult.CONNECT_BACKOFF;
    }
    if (openConnections.isAtLimit() && !closeLongestIdle()) {
      return StartResult.NO_DESCRIPTOR;
    }
    openConnection(endpoint).connect(connector, exchange);
    return StartResult.STARTED;
  }

  private PooledConnection openConnection(EndpointPool endpoint) {
    return new PooledConnection(
        endpoint, connectAttempts, writeGate, openConnections, idleLimit, clock, counters);
  }

  /** Closes the longest idle connection of all hosts; returns whether there was one. */
  private boolean closeLongestIdle() {
    EndpointPool owner = null;
    long longestIdleSince = Long.MAX_VALUE;
    for (EndpointPool endpoint : endpoints.values()) {
      PooledConnection candidate = endpoint.longestIdle();
      if (candidate != null && candidate.idleSince() < longestIdleSince) {
        owner = endpoint;
        longestIdleSince = candidate.idleSince();
      }
    }
    if (owner == null) {
      return false;
    }
    owner.closeLongestIdle();
    return true;
  }

  private void scheduleSweep() {
    timers.schedule(clock.now() + SWEEP_INTERVAL_NANOS, this::sweep);
  }

  /**
   * Raises the idle limit, closes the connections that have reached it, and schedules the next
   * sweep.
   */
  private void sweep() {
    scheduleSweep();
    idleLimit.recover();
    long expiryCutoff = clock.now() - idleLimit.nanos();
    endpoints.values().forEach(endpoint -> endpoint.closeIdleSince(expiryCutoff));
  }

  void closeAllIdle() {
    endpoints.values().forEach(EndpointPool::closeIdle);
  }
}
