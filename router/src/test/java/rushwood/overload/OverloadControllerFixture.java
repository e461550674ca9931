package rushwood.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.api.LogLevel;
import rushwood.api.NoPolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestClassFixture;
import rushwood.api.RequestId;
import rushwood.api.RoutingSettings;
import rushwood.api.ZoneId;
import rushwood.policy.DefaultRoutingPolicy;

/**
 * An overload controller that decorates the default routing policy, with a primary {@code hN} in
 * each group N, a clock that the test advances, and a record of all actions and log lines.
 */
final class OverloadControllerFixture {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  static final RequestClass PAYMENT =
      new RequestClass(
          "pay",
          0,
          750 * NANOS_PER_MILLI,
          RequestClass.Idempotency.NON_IDEMPOTENT,
          RequestClass.KeyScope.GLOBAL,
          5000 * NANOS_PER_MILLI,
          true,
          RequestClass.Consistency.EVENTUAL,
          0,
          0);
  static final RequestClass READ =
      RequestClassFixture.eventualRead("any", 1, 400 * NANOS_PER_MILLI);
  private static final RoutingSettings SETTINGS =
      RoutingSettings.builder()
          .routerCount(1)
          .requestClasses(List.of(PAYMENT, READ))
          .laggingReadBehavior(RoutingSettings.LaggingReadBehavior.REJECTS)
          .canCancel(true)
          .canSendRetryAfter(true)
          .maxRetryAfterNanos(500 * NANOS_PER_MILLI)
          .maxAttempts(10)
          .clockResolutionNanos(5 * NANOS_PER_MILLI)
          .isRemovalBinding(true)
          .coldStartShare(0.15)
          .warmupNanos(14_000 * NANOS_PER_MILLI)
          .collapseMultiple(4)
          .collapseWindowNanos(1000 * NANOS_PER_MILLI)
          .refreshWithinNanos(10_000 * NANOS_PER_MILLI)
          .build();

  final OverloadController controller;
  private final List<String> recorded = new ArrayList<>();
  private long now = 1_000_000 * NANOS_PER_MILLI;
  private int nextId;

  private final class RecordingActions extends NoPolicyActions {
    @Override
    public void send(RequestId request, HostId host, long timeoutNanos, long startWithinNanos) {
      recorded.add("send " + request + " " + host);
    }

    @Override
    public void cancel(RequestId request, int attemptNumber) {
      recorded.add("cancel " + request);
    }

    @Override
    public void reject(RequestId request, long retryAfterNanos) {
      recorded.add("reject " + request + " " + retryAfterNanos / NANOS_PER_MILLI);
    }

    @Override
    public void fail(RequestId request) {
      recorded.add("fail " + request);
    }

    @Override
    public void log(LogLevel level, String line) {
      recorded.add(line);
    }
  }

  OverloadControllerFixture(boolean failAmbiguousWrites, int groups) {
    controller =
        new OverloadController(
            SETTINGS,
            new OverloadSettings(true, true, 0.2, 10, failAmbiguousWrites),
            new ConnectBackoff(new SplittableRandom(1), true),
            () -> 0,
            new RecordingActions(),
            (overloadSignals, trackingActions) ->
                new DefaultRoutingPolicy(
                    SETTINGS, new SplittableRandom(2), trackingActions, overloadSignals));
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < groups; i++) {
      endpoints.add(
          new Endpoint(
              new HostId("h" + i),
              new GroupId(i),
              new ZoneId(""),
              1,
              0,
              true,
              Endpoint.State.READY));
    }
    controller.endpointsReplaced(now, endpoints, true);
  }

  long now() {
    return now;
  }

  void advanceMillis(long millis) {
    now += millis * NANOS_PER_MILLI;
  }

  /**
   * Returns the actions (a verb and its arguments) and log lines since the start or the last {@link
   * #clearRecord}.
   */
  List<String> recorded() {
    return List.copyOf(recorded);
  }

  /** Returns the recorded actions of one kind, for example {@code reject}. */
  List<String> recorded(String verb) {
    return recorded.stream().filter(entry -> entry.startsWith(verb)).toList();
  }

  void clearRecord() {
    recorded.clear();
  }

  /** Returns whether the request was sent to the host of the group. */
  boolean wasSent(String id, int group) {
    return recorded.contains("send " + id + " h" + group);
  }

  boolean wasFailed(String id) {
    return recorded.contains("fail " + id);
  }

  /** Passes the controller a new request with a deadline in one second; returns its id. */
  String receive(RequestClass requestClass, int group, long fingerprint) {
    String id = "a" + nextId++;
    controller.requestReceived(
        now,
        new Request(
            new RequestId(id),
            requestClass,
            null,
            new GroupId(group),
            now + 1000 * NANOS_PER_MILLI,
            0,
            fingerprint,
            0));
    return id;
  }

  void finishAttempt(String id, int group, AttemptOutcome outcome, boolean requestFinished) {
    controller.attemptFinished(
        now,
        new AttemptResult(
            new RequestId(id),
            0,
            new HostId("h" + group),
            outcome,
            10 * NANOS_PER_MILLI,
            requestFinished,
            HostRole.UNKNOWN,
            AttemptResult.NO_POSITION,
            LoadReport.NONE));
  }

  void disconnect(String id) {
    controller.clientDisconnected(now, new RequestId(id));
  }

  void fireTimer() {
    controller.timerFired(now);
  }
}
