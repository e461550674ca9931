package rushwood.testbed.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.HostId;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.api.LogLevel;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;
import rushwood.api.RoutingSettings;
import rushwood.overload.ConnectBackoff;
import rushwood.overload.OverloadController;
import rushwood.overload.OverloadSettings;
import rushwood.policy.DefaultRoutingPolicy;
import rushwood.testbed.load.ReportNames;
import rushwood.testbed.model.HostModel;

/**
 * A router in virtual time: the real routing policy, with overload control or without it, on the
 * models of the hosts. As in the real router, calls to the policy that arise while one runs are
 * made after it has returned, in their order.
 */
final class VirtualRouter implements PolicyActions {
  private static final String OVERLOAD_LOG_PREFIX = "overload state of router";
  private static final long NO_TIMER = Long.MAX_VALUE;

  private final SimulationContext context;
  private final EventQueue events;
  private final Map<RequestId, VirtualRequest> requests = new HashMap<>();
  private final Deque<Runnable> pendingCalls = new ArrayDeque<>();
  private final ConnectBackoff connectBackoff;
  private final RoutingPolicy policy;
  private boolean inPolicyCall;
  private long timerAt = NO_TIMER;

  /** With overload control where settings for it are given. */
  VirtualRouter(
      SimulationContext context,
      RoutingSettings settings,
      Optional<OverloadSettings> overloadSettings,
      long seed) {
    this.context = context;
    events = context.events();
    connectBackoff =
        new ConnectBackoff(
            new SplittableRandom(~seed),
            overloadSettings.map(OverloadSettings::connectBackoff).orElse(false));
    SplittableRandom random = new SplittableRandom(seed);
    policy =
        overloadSettings.isEmpty()
            ? new DefaultRoutingPolicy(settings, random, this)
            : new OverloadController(
                settings,
                overloadSettings.get(),
                connectBackoff,
                () -> 0,
                this,
                (signals, actions) -> new DefaultRoutingPolicy(settings, random, actions, signals));
    callPolicy(() -> policy.endpointsReplaced(events.now(), context.store().endpoints(), true));
  }

  private void callPolicy(Runnable call) {
    pendingCalls.add(call);
    if (inPolicyCall) {
      return;
    }
    inPolicyCall = true;
    for (Runnable next = pendingCalls.poll(); next != null; next = pendingCalls.poll()) {
      next.run();
    }
    inPolicyCall = false;
  }

  /** Discovery tells the endpoint list as it is now. */
  void updateEndpoints() {
    callPolicy(() -> policy.endpointsUpdated(events.now(), context.store().endpoints()));
  }

  /** A client's request has arrived. */
  void requestArrived(Request request, VirtualClient client) {
    requests.put(request.id(), new VirtualRequest(request, client));
    callPolicy(() -> policy.requestReceived(events.now(), request));
  }

  /** A client does not wait any more for the answer to a request. */
  void clientDisconnected(RequestId id) {
    VirtualRequest request = requests.get(id);
    if (request == null || request.detachClient().isEmpty()) {
      return;
    }
    callPolicy(
        () -> {
          policy.clientDisconnected(events.now(), id);
          removeIfFinished(request);
        });
  }

  /** An attempt has ended; its result is made when the policy is free to take it. */
  void attemptEnded(VirtualRequest request, Supplier<AttemptResult> result) {
    callPolicy(
        () -> {
          policy.attemptFinished(events.now(), result.get());
          removeIfFinished(request);
        });
  }

  private void removeIfFinished(VirtualRequest request) {
    if (request.isFinished()) {
      requests.remove(request.details().id());
    }
  }

  @Override
  public void send(RequestId id, HostId hostId, long timeoutNanos, long startWithinNanos) {
    VirtualHost host = context.store().host(hostId);
    VirtualRequest request = Objects.requireNonNull(requests.get(id), "an unknown request is sent");
    VirtualAttempt attempt = request.addAttempt(this, host, events);
    context.counts().attemptStarted();
    if (host.model().isUp()) {
      connectBackoff.attemptStarted(hostId);
      connectBackoff.attemptSucceeded(hostId);
      host.send(attempt, timeoutNanos);
    } else if (connectBackoff.isAttemptAllowed(hostId, events.now())) {
      connectWhileDown(hostId, attempt);
    } else {
      pendingCalls.add(() -> attempt.end(AttemptOutcome.NOT_SENT));
    }
  }

  private void connectWhileDown(HostId hostId, VirtualAttempt attempt) {
    context.counts().connectedWhileDown();
    connectBackoff.attemptStarted(hostId);
    events.scheduleAfter(
        SimulationContext.ROUND_TRIP,
        () -> {
          connectBackoff.attemptFailed(hostId, events.now());
          attempt.end(AttemptOutcome.CONNECT_FAILED);
        });
  }

  @Override
  public void cancel(RequestId id, int attemptNumber) {
    VirtualRequest request = requests.get(id);
    if (request != null) {
      pendingCalls.add(() -> request.attempt(attemptNumber).end(AttemptOutcome.CANCELLED));
    }
  }

  @Override
  public void reject(RequestId id, long retryAfterNanos) {
    detachClient(id).ifPresent(client -> scheduleAnswer(() -> client.onRejected(retryAfterNanos)));
  }

  @Override
  public void fail(RequestId id) {
    detachClient(id).ifPresent(client -> scheduleAnswer(client::onFailed));
  }

  private Optional<VirtualClient> detachClient(RequestId id) {
    VirtualRequest request = requests.get(id);
    if (request == null) {
      return Optional.empty();
    }
    Optional<VirtualClient> client = request.detachClient();
    if (client.isPresent()) {
      removeIfFinished(request);
    }
    return client;
  }

  private void scheduleAnswer(Runnable answer) {
    events.scheduleAfter(SimulationContext.ONE_WAY_LATENCY, answer);
  }

  @Override
  public void checkHealth(HostId id) {
    HostModel model = context.store().host(id).model();
    if (!model.isUp()) {
      context.counts().connectedWhileDown();
    }
    events.scheduleAfter(SimulationContext.ROUND_TRIP, () -> finishHealthCheck(id, model));
  }

  private void finishHealthCheck(HostId id, HostModel model) {
    boolean up = model.isUp();
    LoadReport report =
        up
            ? new LoadReport(model.position(events.now()), HostRole.of(model.isPrimary()))
            : LoadReport.NONE;
    callPolicy(() -> policy.healthCheckFinished(events.now(), id, up, report));
  }

  @Override
  public void wakeAt(long time) {
    if (time < timerAt) {
      timerAt = time;
      events.schedule(time, () -> fireTimer(time));
    }
  }

  /** Fires the timer, unless one for an earlier time has been set meanwhile. */
  private void fireTimer(long time) {
    if (timerAt == time) {
      timerAt = NO_TIMER;
      callPolicy(() -> policy.timerFired(events.now()));
    }
  }

  @Override
  public void subscribeToEndpoints() {
    // The simulation gives every router the list at its start and tells it of each change.
  }

  @Override
  public void log(LogLevel level, String line) {
    if (line.startsWith(OVERLOAD_LOG_PREFIX)) {
      context.result().addToSeries(ReportNames.OVERLOAD_CHANGES_SERIES, events.elapsed(), 1);
    }
  }
}
