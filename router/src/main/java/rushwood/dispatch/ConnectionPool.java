package rushwood.dispatch;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import rushwood.api.AttemptOutcome;
import rushwood.api.HostId;

/**
 * The connections to all hosts. Each carries one exchange at a time; idle ones are reused, the most
 * recently used first, and closed before the host closes them.
 */
final class ConnectionPool {
  /** Whether an exchange was given to a connection, and if not, why. */
  private enum StartResult {
    /** It is on an idle connection or on a new one. */
    STARTED,
    /** The endpoint list does not name its host: a fault of the program. */
    HOST_NOT_LISTED,
    /** The {@link WriteGate} withholds it. */
    WITHHELD,
    /** No idle connection, and the connect backoff allows no new one. */
    CONNECT_BACKOFF,
    /** No idle connection, and no file descriptor for a new one. */
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

  /** Creates an empty pool, which from now on closes idle connections by a timer. */
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

  /** Adds a host or sets its address; one that is ready is not draining any more. */
  void updateEndpoint(HostId host, InetSocketAddress address, boolean ready) {
    endpoints
        .computeIfAbsent(host, added -> new EndpointPool(host, address))
        .update(address, ready);
  }

  /** Stops the use of a host until it is listed as ready again. */
  void drain(HostId host) {
    EndpointPool endpoint = endpoints.get(host);
    if (endpoint != null) {
      endpoint.startDraining();
    }
  }

  /** Forgets a host; its connections in use are closed with the end of their exchange. */
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
   * Runs an exchange on an idle connection or a new one. One that cannot start ends at once, as
   * {@link AttemptOutcome#NOT_SENT}.
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
    counters.checkInvariant(endpoint != null, "exchanges go to listed hosts");
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
    if (openConnections.isAtLimit() && !closeOldestIdle()) {
      return StartResult.NO_DESCRIPTOR;
    }
    openConnection(endpoint).connect(connector, exchange);
    return StartResult.STARTED;
  }

  private PooledConnection openConnection(EndpointPool endpoint) {
    return new PooledConnection(
        endpoint, connectAttempts, writeGate, openConnections, idleLimit, clock, counters);
  }

  /** Closes the connection that has been idle for longest; returns whether there was one. */
  private boolean closeOldestIdle() {
    EndpointPool owner = null;
    long oldestSince = Long.MAX_VALUE;
    for (EndpointPool endpoint : endpoints.values()) {
      PooledConnection candidate = endpoint.oldestIdle();
      if (candidate != null && candidate.idleSince() < oldestSince) {
        owner = endpoint;
        oldestSince = candidate.idleSince();
      }
    }
    if (owner == null) {
      return false;
    }
    owner.closeOldestIdle();
    return true;
  }

  private void scheduleSweep() {
    timers.schedule(clock.now() + SWEEP_INTERVAL_NANOS, this::sweep);
  }

  /** Closes idle connections before their host does. */
  private void sweep() {
    scheduleSweep();
    idleLimit.recover();
    long expiredSince = clock.now() - idleLimit.nanos();
    endpoints.values().forEach(endpoint -> endpoint.closeIdleSince(expiredSince));
  }

  /** Closes every idle connection. */
  void closeAllIdle() {
    endpoints.values().forEach(EndpointPool::closeIdle);
  }
}
