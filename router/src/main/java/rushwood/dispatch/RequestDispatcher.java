package rushwood.dispatch;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Function;
import rushwood.api.GroupId;
import rushwood.api.LogLevel;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;

/**
 * Passes what happens on the network to the routing policy, and carries out what the policy
 * decides. Decides nothing itself. Used on the event loop's thread only.
 */
public final class RequestDispatcher {
  private final EventLoopClock clock;
  private final Counters counters;
  private final ConnectionPool pool;
  private final PolicyEventQueue events;
  private final InFlightRequests requests;
  private final AttemptRunner attempts;
  private final EndpointRegistry endpoints;
  private long shutdownDeadline = Long.MAX_VALUE;

  /**
   * Creates a dispatcher without endpoints.
   *
   * @param connector opens connections to hosts
   * @param logger takes the policy's log messages
   * @param policyFactory makes the policy from the actions that are open to it
   */
  public RequestDispatcher(
      EventLoopClock clock,
      TimerQueue timers,
      Counters counters,
      ConnectionSettings settings,
      BackendConnection.Connector connector,
      BiConsumer<LogLevel, String> logger,
      Function<PolicyActions, RoutingPolicy> policyFactory) {
    this.clock = clock;
    this.counters = counters;
    WriteGate writeGate = new WriteGate(clock, timers, counters, settings.drainGraceNanos());
    pool = new ConnectionPool(connector, clock, timers, counters, writeGate, settings);
    events = new PolicyEventQueue(counters);
    requests = new InFlightRequests(counters, events);
    attempts = new AttemptRunner(clock, timers, counters, pool, writeGate, requests);
    endpoints = new EndpointRegistry(clock, events, pool, settings.isRemovalBinding());
    HealthCheckRunner healthChecks =
        new HealthCheckRunner(
            clock, timers, counters, pool, events, connector, settings.connectTimeoutNanos());
    PolicyTimer policyTimer = new PolicyTimer(clock, timers, events);
    events.attach(
        policyFactory.apply(
            new DispatcherActions(
                counters, requests, attempts, healthChecks, policyTimer, logger)));
  }

  /** Like {@link #endpointsReplaced(List, List, boolean)}, for a list without partial entries. */
  public void endpointsReplaced(List<EndpointAddress> listed, boolean fromCache) {
    endpointsReplaced(listed, List.of(), fromCache);
  }

  /**
   * Takes a whole endpoint list. A known host that it does not name has been removed.
   *
   * @param partials what can be read of malformed entries; a known host of which no state can be
   *     read stays as it is
   * @param fromCache whether the list is the one that this router held before it started
   */
  public void endpointsReplaced(
      List<EndpointAddress> listed, List<PartialEndpoint> partials, boolean fromCache) {
    endpoints.replaceAll(listed, partials, fromCache);
  }

  /** Takes changes to the endpoint list, with what can be read of malformed entries. */
  public void endpointsUpdated(List<EndpointAddress> updates, List<PartialEndpoint> partials) {
    endpoints.update(updates, partials);
  }

  /** Counts a call to discovery that failed. */
  public void endpointRefreshFailed() {
    counters.increment(Counter.ENDPOINT_LISTS_FAILED);
  }

  /** Whether any endpoint is known. */
  public boolean hasEndpoints() {
    return !endpoints.isEmpty();
  }

  /** Whether a host of that group has ever been listed. */
  public boolean hasGroup(GroupId group) {
    return endpoints.hasGroup(group);
  }

  /** How many hosts are in the connection pool. */
  int endpointCount() {
    return pool.endpointCount();
  }

  /**
   * Whether a request of that id is in flight or was so a moment ago. Each request has an id of its
   * own; one that comes twice must not run twice.
   */
  public boolean isRequestIdInUse(RequestId id) {
    return requests.isIdInUse(id);
  }

  /** How many requests wait for their final response. */
  public long unansweredRequests() {
    return requests.unansweredCount();
  }

  /** Like {@link #requestReceived(Statement, long, ClientResponder)}, read in this turn. */
  public void requestReceived(Statement statement, ClientResponder responder) {
    requestReceived(statement, clock.earliestArrival(), responder);
  }

  /**
   * Takes a request, whose id must not be in use ({@link #isRequestIdInUse}): a second request of
   * an id would take the place of the first one.
   *
   * @param earliestArrival when it may have been sent at the earliest; its time counts from then
   * @param responder is called once with the final response, unless the client disconnects before
   */
  public void requestReceived(
      Statement statement, long earliestArrival, ClientResponder responder) {
    long now = clock.now();
    Request request = statement.toRequest(now, earliestArrival, shutdownDeadline);
    counters.increment(Counter.REQUESTS_RECEIVED);
    InFlightRequest inFlight = requests.add(request.id(), statement, responder);
    requests.notifyPolicy(inFlight, policy -> policy.requestReceived(now, request));
  }

  /** The client disconnected or cancelled its request, and is owed no response any more. */
  public void clientDisconnected(RequestId id) {
    InFlightRequest request = requests.findUnanswered(id);
    if (request != null) {
      counters.increment(Counter.REQUESTS_CANCELLED);
      requests.markAnswered(request);
      requests.notifyPolicy(
          request,
          policy -> {
            policy.clientDisconnected(clock.now(), id);
            attempts.withholdUnwritten(request);
          });
    }
  }

  /**
   * The router stops at that time, Unix time in nanoseconds: every request, new or in flight, has
   * to be answered before.
   */
  public void shuttingDown(long lastAnswerTime) {
    shutdownDeadline = lastAnswerTime;
    events.deliver(policy -> policy.shuttingDown(clock.now(), lastAnswerTime));
  }

  /** Closes the idle connections to hosts. */
  public void close() {
    pool.closeAllIdle();
  }
}
