package rushwood.dispatch;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import rushwood.api.HostId;

/**
 * The connections to all hosts. Each carries one exchange at a time; idle ones are reused, the most
 * recently used first, and closed before the host closes them.
 */
final class ConnectionPool {
  private static final long SWEEP_INTERVAL_NANOS = 1_000_000_000L;

  private final Map<HostId, EndpointPool> endpoints = new LinkedHashMap<>();
  private final EventLoopClock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final ConnectionSettings settings;
  private final IdleLimit idleLimit;
  private final OpenConnections openConnections;
  private final PoolContext context;

  /** Creates an empty pool, which from now on closes idle connections by a timer. */
  ConnectionPool(
      BackendConnection.Connector connector,
      EventLoopClock clock,
      TimerQueue timers,
      Counters counters,
      ConnectionSettings settings) {
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    this.settings = settings;
    idleLimit = new IdleLimit(settings.hostIdleTimeoutNanos());
    openConnections = new OpenConnections(settings.descriptors(), clock);
    context =
        new PoolContext(connector, clock, timers, counters, settings, idleLimit, openConnections);
    scheduleSweep();
  }

  /** Adds a host or sets its address; one that is ready is not draining any more. */
  void updateEndpoint(HostId host, InetSocketAddress address, boolean ready) {
    endpoints.computeIfAbsent(host, added -> new EndpointPool()).update(address, ready);
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
   * Runs an exchange on an idle connection or a new one.
   *
   * @return false if no connection may be used or opened, and the exchange was not taken
   */
  boolean execute(Exchange exchange) {
    EndpointPool endpoint = endpoints.get(exchange.host());
    if (!counters.checkInvariant(endpoint != null, "exchanges go to listed hosts")) {
      return false;
    }
    if (endpoint.isDraining()) {
      counters.increment(Counter.ATTEMPTS_WITHHELD);
      return false;
    }
    PooledConnection reusable = endpoint.takeReusable(clock.now(), idleLimit.nanos());
    if (reusable != null) {
      counters.increment(Counter.CONNECTIONS_REUSED);
      reusable.reuse(exchange);
      return true;
    }
    if (!canConnect(exchange)) {
      return false;
    }
    counters.increment(Counter.CONNECTIONS_OPENED);
    new PooledConnection(context, exchange.host(), endpoint).connect(exchange);
    return true;
  }

  /** Health checks are exempt from the connect backoff: the routing policy limits them itself. */
  private boolean canConnect(Exchange exchange) {
    if (!exchange.isHealthCheck()
        && !settings.backoff().isAttemptAllowed(exchange.host(), clock.now())) {
      counters.increment(Counter.CONNECTS_SUPPRESSED);
      return false;
    }
    return !openConnections.isAtLimit() || closeOldestIdle();
  }

  private boolean closeOldestIdle() {
    EndpointPool owner = null;
    for (EndpointPool endpoint : endpoints.values()) {
      PooledConnection candidate = endpoint.oldestIdle();
      if (candidate != null
          && (owner == null || candidate.idleSince() < owner.oldestIdle().idleSince())) {
        owner = endpoint;
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
