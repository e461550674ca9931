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
 * Reports network events to the routing policy and executes the actions that the policy orders. All
 * routing decisions are made by the policy. Used on the event loop's thread only.
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
   * @param logger receives the policy's log lines
   * @param policyFactory creates the policy from the actions that it can order
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
    events.setPolicy(
        policyFactory.apply(
            new DispatcherActions(
                counters, requests, attempts, healthChecks, policyTimer, logger)));
  }

  /** Like {@link #endpointsReplaced(List, List, boolean)}, for a list without partial entries. */
  public void endpointsReplaced(List<EndpointAddress> listed, boolean fromCache) {
    endpointsReplaced(listed, List.of(), fromCache);
  }

  /**
   * Applies a complete endpoint list: known hosts that it does not contain are removed.
   *
   * @param partials the readable fields of malformed entries; a known host whose state cannot be
   *     read keeps its state
   * @param fromCache whether this is the list that the router held before it was restarted, instead
   *     of one from discovery
   */
  public void endpointsReplaced(
      List<EndpointAddress> listed, List<PartialEndpoint> partials, boolean fromCache) {
    endpoints.replaceAll(listed, partials, fromCache);
  }

  /**
   * Applies changes to the endpoint list.
   *
   * @param partials the readable fields of malformed entries
   */
  public void endpointsUpdated(List<EndpointAddress> updates, List<PartialEndpoint> partials) {
    endpoints.update(updates, partials);
  }

  /**
   * Starts nothing on any host until it is listed as ready, as if all of them drained. For a list
   * that is too old to be used.
   */
  public void suspendEndpoints() {
    endpoints.suspendAll();
  }

  /** Counts a failed call to discovery. */
  public void endpointRefreshFailed() {
    counters.increment(Counter.ENDPOINT_LISTS_FAILED);
  }

  /** Returns whether any endpoint is known. */
  public boolean hasEndpoints() {
    return !endpoints.isEmpty();
  }

  /** Returns whether a host of the given group has ever been listed. */
  public boolean hasGroup(GroupId group) {
    return endpoints.hasGroup(group);
  }

  /** Returns the number of hosts in the connection pool. */
  int endpointCount() {
    return pool.endpointCount();
  }

  /**
   * Returns whether a request with the given id is in flight or finished recently. Request ids are
   * unique; a request that is received twice must not run twice.
   */
  public boolean isRequestIdInUse(RequestId id) {
    return requests.isIdInUse(id);
  }

  /** Returns the number of requests without a final response. */
  public long unansweredRequests() {
    return requests.unansweredCount();
  }

  /**
   * Like {@link #requestReceived(Statement, long, ClientResponder)}, for a request that was read in
   * the current turn of the event loop.
   */
  public void requestReceived(Statement statement, ClientResponder responder) {
    requestReceived(statement, clock.earliestArrival(), responder);
  }

  /**
   * Starts a request. Its id must not be in use ({@link #isRequestIdInUse}): a second request with
   * the same id would replace the first one.
   *
   * @param earliestArrival the earliest time at which the request may have arrived, from which its
   *     timeout counts
   * @param responder called once with the final response, unless the client disconnects before
   */
  public void requestReceived(
      Statement statement, long earliestArrival, ClientResponder responder) {
    long now = clock.now();
    Request request = statement.toRequest(now, earliestArrival, shutdownDeadline);
    counters.increment(Counter.REQUESTS_RECEIVED);
    InFlightRequest inFlight = requests.add(request.id(), statement, responder);
    requests.notifyPolicy(inFlight, policy -> policy.requestReceived(now, request));
  }

  /**
   * Handles that a client disconnected or cancelled its request. The request gets no final response
   * and its unwritten attempts are withheld; does nothing if the request is answered.
   */
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
   * Starts the shutdown of the router. May be called again with another time.
   *
   * @param lastAnswerTime the time, Unix time in nanoseconds, before which every request, new or in
   *     flight, has to be answered
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
