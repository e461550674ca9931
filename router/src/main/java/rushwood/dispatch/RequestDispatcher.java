package rushwood.dispatch;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;

/**
 * Carries the calls of the network to the decisions and what they decide back to the network.
 * Decides nothing: the ends of shots wait in a line until the decisions have returned from their
 * last call.
 */
public final class RequestDispatcher {
  private static final class InFlightRequest {
    final RequestId id;
    final Statement statement;
    final List<AttemptExchange> attempts = new ArrayList<>();
    ClientResponder responder;
    int attemptsInFlight;

    InFlightRequest(RequestId id, Statement statement, ClientResponder responder) {
      this.id = id;
      this.statement = statement;
      this.responder = responder;
    }
  }

  private final class AttemptExchange extends Exchange {
    final InFlightRequest request;
    final int attemptNumber;
    final long startedAt;
    final long timeoutNanos;
    TimerQueue.ScheduledTask timeoutTask;

    AttemptExchange(InFlightRequest request, HostId host, long startedAt, long timeoutNanos) {
      super(host);
      this.request = request;
      this.attemptNumber = request.attempts.size();
      this.startedAt = startedAt;
      this.timeoutNanos = timeoutNanos;
    }

    @Override
    ByteBuf encodeStatement() {
      return request.statement.toMessage(
          Math.max(1, (startedAt + timeoutNanos - clock.now()) / NANOS_PER_MILLI));
    }

    @Override
    void complete(BackendResponse response) {
      attemptEnded(this, response);
    }
  }

  private final class ProbeExchange extends Exchange {
    ProbeExchange(HostId host) {
      super(host);
    }

    @Override
    ByteBuf encodeStatement() {
      return probeStatement.get();
    }

    @Override
    boolean isProbe() {
      return true;
    }

    @Override
    void complete(BackendResponse response) {
      completed = true;
      boolean answered = response.outcome() == AttemptOutcome.SUCCESS;
      if (answered) {
        counters.increment(Counter.PROBES_ANSWERED);
      }
      response.release();
      pendingEvents.add(() -> policy.probeFinished(clock.now(), host, answered, response.report()));
      deliverPendingEvents();
    }
  }

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int MAX_RECENT_REQUESTS =
      2000; // ids of accesses that are over: some seconds of them

  private final Map<RequestId, InFlightRequest> requests = new HashMap<>();
  private final Set<RequestId> recentRequests = new LinkedHashSet<>();
  private final Deque<Runnable> pendingEvents = new ArrayDeque<>();
  private final Map<HostId, EndpointAddress> knownEndpoints = new LinkedHashMap<>();
  private final Set<GroupId> groups = new HashSet<>();
  private final EventLoopClock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final ConnectionPool pool;
  private final Supplier<ByteBuf> probeStatement;
  private final Runnable subscription;
  private final Consumer<String> logger;
  private final RoutingPolicy policy;
  private final long probeTimeoutNanos;
  private final boolean isRemovalBinding;
  private long shutdownDeadline = Long.MAX_VALUE;
  private boolean deliveringEvents;
  private TimerQueue.ScheduledTask policyTimer;
  private long unansweredRequests;

  /** With the parts that a router works through, and what makes its decisions from their outlet. */
  public RequestDispatcher(
      EventLoopClock clock,
      TimerQueue timers,
      Counters counters,
      ConnectionSettings settings,
      BackendConnection.Connector connector,
      Supplier<ByteBuf> probeStatement,
      Runnable subscription,
      Consumer<String> logger,
      Function<PolicyActions, RoutingPolicy> policyFactory) {
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    this.probeStatement = probeStatement;
    this.subscription = subscription;
    this.logger = logger;
    probeTimeoutNanos = settings.connectTimeoutNanos();
    isRemovalBinding = settings.isRemovalBinding();
    pool = new ConnectionPool(connector, clock, timers, counters, settings);
    policy = policyFactory.apply(new DispatcherActions());
  }

  // ---- what the network tells

  public void endpointsReplaced(List<EndpointAddress> endpoints, boolean fromCache) {
    endpointsReplaced(endpoints, List.of(), fromCache);
  }

  /**
   * The whole list, with what is left of bad entries: a host of which no state can be read stays as
   * it was.
   */
  public void endpointsReplaced(
      List<EndpointAddress> endpoints, List<PartialEndpoint> partials, boolean fromCache) {
    List<EndpointAddress> merged = new ArrayList<>(endpoints);
    merged.addAll(completePartials(partials));
    Set<HostId> listedHosts = new HashSet<>();
    merged.forEach(entry -> listedHosts.add(entry.endpoint().id()));
    List<HostId> missingHosts =
        knownEndpoints.keySet().stream().filter(id -> !listedHosts.contains(id)).toList();
    registerEndpoints(merged);
    notifyPolicy(
        () ->
            policy.endpointsReplaced(
                clock.now(), merged.stream().map(EndpointAddress::endpoint).toList(), fromCache));
    stopUsingLeaving(merged);
    missingHosts.forEach(this::endpointRemoved);
  }

  /** Changes of hosts never heard of, gone already, say nothing. */
  public void endpointsUpdated(List<EndpointAddress> updates, List<PartialEndpoint> partials) {
    List<EndpointAddress> relevant = new ArrayList<>(updates);
    relevant.removeIf(
        each ->
            !knownEndpoints.containsKey(each.endpoint().id())
                && each.endpoint().state() == Endpoint.State.REMOVED);
    relevant.addAll(completePartials(partials));
    registerEndpoints(relevant);
    notifyPolicy(
        () ->
            policy.endpointsUpdated(
                clock.now(), relevant.stream().map(EndpointAddress::endpoint).toList()));
    stopUsingLeaving(relevant);
  }

  private List<EndpointAddress> completePartials(List<PartialEndpoint> partials) {
    List<EndpointAddress> completed = new ArrayList<>();
    for (PartialEndpoint each : partials) {
      EndpointAddress previous = knownEndpoints.get(each.id());
      if (previous != null) {
        completed.add(each.hasState() ? previous.withState(each.state()) : previous);
      }
    }
    return completed;
  }

  /**
   * The decisions have heard it and choose none of these any more; what they chose before is not
   * begun now.
   */
  private void stopUsingLeaving(List<EndpointAddress> endpoints) {
    for (EndpointAddress entry : endpoints) {
      if (entry.endpoint().state() == Endpoint.State.DRAINING) {
        pool.drain(entry.endpoint().id());
      } else if (entry.endpoint().state() == Endpoint.State.REMOVED) {
        endpointRemoved(entry.endpoint().id());
      }
    }
  }

  /** Forgotten once the decisions have heard that it is gone; it may come back under its id. */
  private void endpointRemoved(HostId id) {
    if (isRemovalBinding) {
      knownEndpoints.remove(id);
      pool.remove(id);
    }
  }

  /** How many hosts are kept. */
  int endpointCount() {
    return pool.endpointCount();
  }

  private void registerEndpoints(List<EndpointAddress> endpoints) {
    for (EndpointAddress entry : endpoints) {
      Endpoint endpoint = entry.endpoint();
      knownEndpoints.put(endpoint.id(), entry);
      groups.add(endpoint.group());
      pool.updateAddress(endpoint.id(), entry.address(), endpoint.state() == Endpoint.State.READY);
    }
  }

  public void endpointRefreshFailed() {
    counters.increment(Counter.ENDPOINT_LISTS_FAILED);
  }

  public boolean hasEndpoints() {
    return !knownEndpoints.isEmpty();
  }

  public boolean hasGroup(GroupId group) {
    return groups.contains(group);
  }

  /**
   * Whether an access of that id is open or was a moment ago: each has a new one, and must not run
   * twice.
   */
  public boolean isRequestIdInUse(RequestId id) {
    return requests.containsKey(id) || recentRequests.contains(id);
  }

  /** Accesses that still wait for their answer. */
  public long unansweredRequests() {
    return unansweredRequests;
  }

  public void requestReceived(Statement statement, ClientResponder responder) {
    long now = clock.now();
    Request request = statement.toRequest(now, clock.earliestArrival(), shutdownDeadline);
    counters.increment(Counter.REQUESTS_RECEIVED);
    counters.checkInvariant(!requests.containsKey(request.id()), "an id stands for one access");
    unansweredRequests++;
    InFlightRequest inFlight = new InFlightRequest(request.id(), statement, responder);
    requests.put(request.id(), inFlight);
    notifyPolicy(inFlight, () -> policy.requestReceived(now, request));
  }

  public void clientDisconnected(RequestId id) {
    InFlightRequest request = requests.get(id);
    if (request != null && request.responder != null) {
      counters.increment(Counter.REQUESTS_CANCELLED);
      markAnswered(request);
      notifyPolicy(
          request,
          () -> {
            policy.clientDisconnected(clock.now(), id);
            withholdUnwritten(request);
          });
    }
  }

  /**
   * What is chosen and not begun is for nobody any more, whether or not hosts can be told to stop.
   */
  private void withholdUnwritten(InFlightRequest request) {
    for (AttemptExchange attempt : List.copyOf(request.attempts)) {
      if (!attempt.completed
          && (attempt.connection == null || !attempt.connection.awaitingResponse())) {
        counters.increment(Counter.ATTEMPTS_WITHHELD);
        stopAttempt(attempt, AttemptOutcome.CANCELLED);
      }
    }
  }

  /**
   * No access has longer than until then, those included that are open: this router is not there
   * any more.
   */
  public void shuttingDown(long deadline) {
    shutdownDeadline = deadline;
    notifyPolicy(() -> policy.shuttingDown(clock.now(), deadline));
  }

  public void close() {
    pool.closeAllIdle();
  }

  // ---- the ends of shots

  private void attemptEnded(AttemptExchange attempt, BackendResponse response) {
    if (attempt.completed) {
      response.release();
      return;
    }
    attempt.completed = true;
    attempt.timeoutTask.cancel();
    counters.increment(Counter.valueOf("ATTEMPTS_" + response.outcome()));
    InFlightRequest request = attempt.request;
    request.attemptsInFlight--;
    counters.checkInvariant(request.attemptsInFlight >= 0, "a shot ends once");
    if (response.outcome() == AttemptOutcome.SUCCESS && request.responder != null) {
      counters.increment(Counter.REQUESTS_SUCCEEDED);
      markAnswered(request).sendResult(response.row());
    } else {
      response.release();
    }
    notifyPolicy(
        request,
        () ->
            policy.attemptFinished(
                clock.now(),
                new AttemptResult(
                    request.id,
                    attempt.attemptNumber,
                    attempt.host,
                    response.outcome(),
                    clock.now() - attempt.startedAt,
                    request.responder == null,
                    response.role(),
                    response.position(),
                    response.report())));
  }

  private ClientResponder markAnswered(InFlightRequest request) {
    ClientResponder responder = request.responder;
    request.responder = null;
    unansweredRequests--;
    return responder;
  }

  private void forgetIfFinished(InFlightRequest request) {
    if (request.responder == null
        && request.attemptsInFlight == 0
        && requests.remove(request.id, request)) {
      request.statement.release();
      recentRequests.add(request.id);
      if (recentRequests.size() > MAX_RECENT_REQUESTS) {
        recentRequests.remove(recentRequests.iterator().next());
      }
    }
  }

  /** Stops waiting for a shot; one that was never written is known not to have run. */
  private void stopAttempt(AttemptExchange attempt, AttemptOutcome outcome) {
    boolean written = attempt.connection != null && attempt.connection.awaitingResponse();
    pool.cancel(attempt);
    attemptEnded(attempt, BackendResponse.withoutRow(written ? outcome : AttemptOutcome.NOT_SENT));
  }

  /**
   * Where the decisions fail over an access and leave it without a shot, it is given up: it has its
   * answer.
   */
  private void notifyPolicy(InFlightRequest request, Runnable event) {
    notifyPolicy(
        () -> {
          if (!counters.runSafely(event)
              && request.responder != null
              && request.attemptsInFlight == 0) {
            counters.increment(Counter.REQUESTS_FAILED);
            markAnswered(request).sendFailure();
          }
          forgetIfFinished(request);
        });
  }

  private void notifyPolicy(Runnable event) {
    pendingEvents.add(event);
    deliverPendingEvents();
  }

  /** One call at a time, in the order of events: none begins while another has not returned. */
  private void deliverPendingEvents() {
    if (deliveringEvents) {
      return;
    }
    deliveringEvents = true;
    try {
      for (Runnable event = pendingEvents.poll(); event != null; event = pendingEvents.poll()) {
        counters.runSafely(event);
      }
    } finally {
      deliveringEvents = false;
    }
  }

  // ---- what the decisions do

  private final class DispatcherActions implements PolicyActions {
    @Override
    public void send(RequestId id, HostId host, long timeoutNanos, long startWithinNanos) {
      InFlightRequest request = requests.get(id);
      if (!counters.checkInvariant(
          request != null && request.responder != null, "a shot for an open access")) {
        return;
      }
      long now = clock.now();
      AttemptExchange attempt = new AttemptExchange(request, host, now, timeoutNanos);
      attempt.writeDeadline = now + Math.min(timeoutNanos, startWithinNanos);
      request.attempts.add(attempt);
      request.attemptsInFlight++;
      counters.increment(Counter.ATTEMPTS_STARTED);
      attempt.timeoutTask =
          timers.schedule(now + timeoutNanos, () -> stopAttempt(attempt, AttemptOutcome.TIMED_OUT));
      if (timeoutNanos <= 0 || !pool.execute(attempt)) {
        attemptEnded(attempt, BackendResponse.withoutRow(AttemptOutcome.NOT_SENT));
      }
    }

    @Override
    public void cancel(RequestId id, int attemptNumber) {
      InFlightRequest request = requests.get(id);
      if (request != null && !request.attempts.get(attemptNumber).completed) {
        stopAttempt(request.attempts.get(attemptNumber), AttemptOutcome.CANCELLED);
      }
    }

    @Override
    public void reject(RequestId id, long retryAfterNanos) {
      ClientResponder responder = completeIfUnanswered(id);
      if (responder != null) {
        counters.increment(Counter.REQUESTS_REJECTED);
        responder.sendRejection(retryAfterNanos);
      }
    }

    @Override
    public void fail(RequestId id) {
      ClientResponder responder = completeIfUnanswered(id);
      if (responder != null) {
        counters.increment(Counter.REQUESTS_FAILED);
        responder.sendFailure();
      }
    }

    private ClientResponder completeIfUnanswered(RequestId id) {
      InFlightRequest request = requests.get(id);
      if (request == null || request.responder == null) {
        return null; // it was fulfilled or left a moment ago
      }
      ClientResponder responder = markAnswered(request);
      forgetIfFinished(request);
      return responder;
    }

    @Override
    public void probe(HostId host) {
      counters.increment(Counter.PROBES_SENT);
      ProbeExchange exchange = new ProbeExchange(host);
      timers.schedule(
          clock.now() + probeTimeoutNanos,
          () -> {
            if (!exchange.completed) {
              pool.cancel(exchange);
              exchange.complete(BackendResponse.withoutRow(AttemptOutcome.TIMED_OUT));
            }
          });
      if (!pool.execute(exchange)) {
        exchange.complete(BackendResponse.withoutRow(AttemptOutcome.NOT_SENT));
      }
    }

    @Override
    public void wakeAt(long time) {
      if (policyTimer != null) {
        policyTimer.cancel();
      }
      policyTimer = timers.schedule(time, () -> notifyPolicy(() -> policy.timerFired(clock.now())));
    }

    @Override
    public void subscribeToEndpoints() {
      subscription.run();
    }

    @Override
    public void log(String message) {
      logger.accept(message);
    }
  }
}
