package rushwood.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestId;
import rushwood.api.RoutingSettings;
import rushwood.api.ZoneId;
import rushwood.policy.DefaultRoutingPolicy;

/** The overload controller in front of the default routing policy. */
class OverloadControllerTest {
  private static final long MS = 1_000_000L;
  private static final RequestClass PAYMENT =
      new RequestClass(
          "pay",
          0,
          750 * MS,
          RequestClass.Idempotency.NON_IDEMPOTENT,
          RequestClass.KeyScope.GLOBAL,
          5000 * MS,
          true,
          RequestClass.Consistency.EVENTUAL,
          0,
          0);
  private static final RequestClass READ =
      new RequestClass(
          "any",
          1,
          400 * MS,
          RequestClass.Idempotency.IDEMPOTENT,
          RequestClass.KeyScope.GLOBAL,
          0,
          false,
          RequestClass.Consistency.EVENTUAL,
          0,
          0);
  private static final RoutingSettings SETTINGS =
      new RoutingSettings(
          1,
          List.of(PAYMENT, READ),
          false,
          RoutingSettings.LaggingReadBehavior.REJECTS,
          false,
          false,
          false,
          true,
          true,
          500 * MS,
          10,
          5 * MS,
          true,
          0.15,
          14_000 * MS,
          4,
          1000 * MS,
          10_000 * MS);

  private final List<String> recorded = new ArrayList<>();
  private OverloadController controller;
  private long now = 1_000_000 * MS;
  private int nextId;

  private final class RecordingActions implements PolicyActions {
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
      recorded.add("reject " + request + " " + retryAfterNanos / MS);
    }

    @Override
    public void fail(RequestId request) {
      recorded.add("fail " + request);
    }

    @Override
    public void probe(HostId host) {}

    @Override
    public void wakeAt(long time) {}

    @Override
    public void subscribeToEndpoints() {}

    @Override
    public void log(String line) {
      recorded.add(line);
    }
  }

  private void start(boolean failAmbiguousWrites, int groups) {
    ConnectBackoff connectBackoff = new ConnectBackoff(new SplittableRandom(1), true);
    controller =
        new OverloadController(
            SETTINGS,
            new OverloadSettings(true, true, 0.2, 10, failAmbiguousWrites),
            connectBackoff,
            new RecordingActions(),
            (overloadSignals, observedActions) ->
                new DefaultRoutingPolicy(
                    SETTINGS, new SplittableRandom(2), observedActions, overloadSignals));
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

  private String receive(RequestClass requestClass, int group, long fingerprint) {
    String id = "a" + nextId++;
    controller.requestReceived(
        now,
        new Request(
            new RequestId(id),
            requestClass,
            null,
            new GroupId(group),
            now + 1000 * MS,
            0,
            fingerprint,
            0));
    return id;
  }

  private void finishAttempt(
      String id, int group, AttemptOutcome outcome, boolean requestFinished) {
    controller.attemptFinished(
        now,
        new AttemptResult(
            new RequestId(id),
            0,
            new HostId("h" + group),
            outcome,
            10 * MS,
            requestFinished,
            HostRole.UNKNOWN,
            -1,
            LoadReport.NONE));
  }

  /** The client disconnects after its write was sent, and repeats it under a new id. */
  @Test
  void ambiguousWriteIsNotExecutedAgain() {
    start(true, 1);
    String first = receive(PAYMENT, 0, 77);
    assertEquals(
        List.of("send " + first + " h0"),
        recorded.stream().filter(each -> each.startsWith("send")).toList());
    controller.clientDisconnected(now, new RequestId(first));
    recorded.clear();
    now += 100 * MS;
    String second = receive(PAYMENT, 0, 77);
    assertEquals(List.of("fail " + second), recorded);
    assertEquals(1, controller.counts().ambiguousWritesFailed());
    finishAttempt(first, 0, AttemptOutcome.TIMED_OUT, true);
    String third = receive(PAYMENT, 0, 77);
    assertTrue(
        recorded.contains("fail " + third), "a timeout does not prove that it was not executed");
    String other = receive(PAYMENT, 0, 78);
    assertTrue(recorded.contains("send " + other + " h0"), "another fingerprint is not affected");
    now += 5100 * MS;
    String late = receive(PAYMENT, 0, 77);
    assertTrue(recorded.contains("send " + late + " h0"), "the idempotency window is over");
  }

  /** A refusal proves that the write was not executed. */
  @Test
  void refusalByHostEndsAmbiguity() {
    start(true, 1);
    String first = receive(PAYMENT, 0, 77);
    controller.clientDisconnected(now, new RequestId(first));
    finishAttempt(first, 0, AttemptOutcome.OVERLOADED, true);
    now += 100 * MS; // a host that refuses is not used for a while
    String second = receive(PAYMENT, 0, 77);
    assertTrue(recorded.contains("send " + second + " h0"), recorded.toString());
  }

  /** Two requests of one fingerprint: the outcome of one says nothing of the other. */
  @Test
  void successOfAnotherRequestDoesNotEndAmbiguity() {
    start(true, 1);
    String first = receive(PAYMENT, 0, 77);
    String second = receive(PAYMENT, 0, 77);
    assertTrue(recorded.contains("send " + second + " h0"), recorded.toString());
    controller.clientDisconnected(now, new RequestId(first));
    finishAttempt(second, 0, AttemptOutcome.SUCCESS, true);
    String third = receive(PAYMENT, 0, 77);
    assertTrue(recorded.contains("fail " + third), "the first may still be executed");
  }

  @Test
  void twoAmbiguousWritesOfOneFingerprint() {
    start(true, 1);
    String first = receive(PAYMENT, 0, 77);
    String second = receive(PAYMENT, 0, 77);
    controller.clientDisconnected(now, new RequestId(first));
    controller.clientDisconnected(now, new RequestId(second));
    finishAttempt(second, 0, AttemptOutcome.OVERLOADED, true);
    now += 100 * MS;
    assertTrue(
        recorded.contains("fail " + receive(PAYMENT, 0, 77)), "the first may still be executed");
  }

  /**
   * A request that the dispatcher ended without an event is neither kept for good nor counted as
   * waiting.
   */
  @Test
  void overdueRequestsAreRemoved() {
    start(false, 1);
    for (int i = 0; i < 100; i++) {
      receive(READ, 7, i + 1); // a group without hosts
    }
    assertEquals(100, controller.trackedRequestCount());
    now += 2100 * MS; // their deadline was after one second; no timer has fired
    controller.clientDisconnected(now, new RequestId("another"));
    assertEquals(0, controller.trackedRequestCount());
  }

  /** The same client may send the same payment again. */
  @Test
  void successfulWriteIsNotAmbiguous() {
    start(true, 1);
    String first = receive(PAYMENT, 0, 77);
    finishAttempt(first, 0, AttemptOutcome.SUCCESS, true);
    String second = receive(PAYMENT, 0, 77);
    assertTrue(recorded.contains("send " + second + " h0"));
  }

  /** A client that returns after the Retry-After it was told comes before later arrivals. */
  @Test
  void requestsReturningAsAdvisedAreServedFirst() {
    start(false, 1);
    List<String> sent = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      sent.add(receive(READ, 0, 1000 + i));
    }
    now += 700 * MS; // queued requests are rejected
    controller.timerFired(now);
    List<String> rejections = recorded.stream().filter(each -> each.startsWith("reject")).toList();
    assertTrue(rejections.size() > 20, recorded.toString());
    for (String each :
        rejections.subList(
            0, rejections.size() - 1)) { // the last one is rejected when no other waits
      long wait = Long.parseLong(each.split(" ")[2]);
      assertTrue(wait > 0 && wait <= 500, each);
    }
    String later = receive(READ, 0, 5);
    now += 100 * MS;
    String returning =
        receive(READ, 0, 1000 + Integer.parseInt(rejections.get(0).split(" ")[1].substring(1)));
    assertEquals(1, controller.counts().returnedAsAdvised());
    recorded.clear();
    finishAttempt(sent.get(0), 0, AttemptOutcome.SUCCESS, true);
    assertEquals(
        "send " + returning + " h0",
        recorded.stream()
            .filter(each -> each.startsWith("send"))
            .findFirst()
            .orElse("none, " + later + " waits"));
  }

  /** State, retry budget and Retry-After times of one group do not depend on another. */
  @Test
  void overloadOfOneGroupLeavesOthersNormal() {
    start(false, 2);
    for (int round = 0; round < 60; round++) {
      for (int i = 0; i < 20; i++) {
        String id = receive(READ, 0, 1 + i);
        controller.clientDisconnected(now, new RequestId(id));
        if (recorded.contains("send " + id + " h0")) {
          finishAttempt(id, 0, AttemptOutcome.TIMED_OUT, true);
        }
      }
      String unaffected = receive(READ, 1, 10_000 + round);
      finishAttempt(unaffected, 1, AttemptOutcome.SUCCESS, true);
      now += 50 * MS;
      controller.timerFired(now);
    }
    assertEquals(
        OverloadDetector.State.OVERLOADED, controller.state(new GroupId(0)), recorded.toString());
    assertEquals(OverloadDetector.State.NORMAL, controller.state(new GroupId(1)));
    assertTrue(controller.canRetry(now, new GroupId(1)));
    for (int i = 0; i < 100; i++) {
      controller.attemptSent(now, new GroupId(0), true);
    }
    assertFalse(controller.canRetry(now, new GroupId(0)));
    assertTrue(controller.canRetry(now, new GroupId(1)));
  }

  /** Many clients read one key, and a few of them get no answer. */
  @Test
  void requestsForHotKeysAreNotRepeats() {
    start(false, 1);
    for (int i = 0; i < 1000; i++) {
      String id = receive(READ, 0, 7);
      if (i % 20 == 0) {
        controller.clientDisconnected(now, new RequestId(id));
        finishAttempt(id, 0, AttemptOutcome.CANCELLED, true);
      } else {
        finishAttempt(id, 0, AttemptOutcome.SUCCESS, true);
      }
      now += 2 * MS;
    }
    assertTrue(
        controller.counts().repeatedRequests() <= 50,
        controller.counts().repeatedRequests() + " of 50 that had no answer");
    assertEquals(OverloadDetector.State.NORMAL, controller.state());
  }
}
