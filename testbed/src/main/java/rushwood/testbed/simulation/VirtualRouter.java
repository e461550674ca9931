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
 * A router in virtual time: runs the real routing policy, with or without overload control, against
 * models of the hosts. As in the real router, calls to the policy that are triggered while another
 * one runs are queued and made in order after it has returned.
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

  /**
   * Creates a router and gives its policy the endpoint list.
   *
   * @param overloadSettings the settings of overload control; empty for a router without it
   */
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

  /** Runs a call to the policy and all calls that it triggers; queues it if another is running. */
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

  /** Passes the present state of all endpoints to the policy, as an update from discovery. */
  void updateEndpoints() {
    callPolicy(() -> policy.endpointsUpdated(events.now(), context.store().endpoints()));
  }

  /** Handles the arrival of a client's request. */
  void requestArrived(Request request, VirtualClient client) {
    requests.put(request.id(), new VirtualRequest(request, client));
    callPolicy(() -> policy.requestReceived(events.now(), request));
  }

  /** Handles that a client has stopped waiting for the answer to a request. */
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

  /**
   * Reports the end of an attempt to the policy.
   *
   * @param result creates the result; called just before the policy receives it, so that it
   *     includes the effects of calls that were queued earlier
   */
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
    VirtualRequest request =
        Objects.requireNonNull(requests.get(id), () -> "policy sent unknown request " + id);
    VirtualAttempt attempt = request.addAttempt(this, host, events);
    context.counts().attemptStarted();
    if (host.model().isUp()) {
      connectBackoff.attemptStarted(hostId);
      connectBackoff.attemptSucceeded(hostId);
      host.send(attempt, timeoutNanos);
    } else if (connectBackoff.isAttemptAllowed(hostId, events.now())) {
      connectToDownHost(hostId, attempt);
    } else {
      pendingCalls.add(() -> attempt.end(AttemptOutcome.NOT_SENT));
    }
  }

  private void connectToDownHost(HostId hostId, VirtualAttempt attempt) {
    context.counts().connectToDownHostStarted();
    connectBackoff.attemptStarted(hostId);
    events.scheduleAfter(
        SimulationContext.ROUND_TRIP_NANOS,
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
    events.scheduleAfter(SimulationContext.ONE_WAY_LATENCY_NANOS, answer);
  }

  @Override
  public void checkHealth(HostId id) {
    HostModel model = context.store().host(id).model();
    if (!model.isUp()) {
      context.counts().connectToDownHostStarted();
    }
    events.scheduleAfter(SimulationContext.ROUND_TRIP_NANOS, () -> finishHealthCheck(id, model));
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

  /** Fires the timer, unless it has been replaced by one for an earlier time. */
  private void fireTimer(long time) {
    if (timerAt == time) {
      timerAt = NO_TIMER;
      callPolicy(() -> policy.timerFired(events.now()));
    }
  }

  @Override
  public void subscribeToEndpoints() {
    // The simulation passes the list to each router at its creation, and updates as they happen.
  }

  @Override
  public void log(LogLevel level, String line) {
    if (line.startsWith(OVERLOAD_LOG_PREFIX)) {
      context.result().addToSeries(ReportNames.OVERLOAD_CHANGES_SERIES, events.elapsed(), 1);
    }
  }
}
