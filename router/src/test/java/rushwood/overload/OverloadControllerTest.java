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

/** The module with the decisions behind it. */
class OverloadControllerTest {
  private static final long MS = 1_000_000L;
  private static final RequestClass PAY =
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
  private static final RequestClass ANY =
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
          List.of(PAY, ANY),
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
    public void send(RequestId access, HostId host, long timeOut, long beginWithin) {
      recorded.add("send " + access + " " + host);
    }

    @Override
    public void cancel(RequestId access, int shot) {
      recorded.add("withdraw " + access);
    }

    @Override
    public void reject(RequestId access, long advice) {
      recorded.add("back " + access + " " + advice / MS);
    }

    @Override
    public void fail(RequestId access) {
      recorded.add("up " + access);
    }

    @Override
    public void probe(HostId host) {}

    @Override
    public void wakeAt(long at) {}

    @Override
    public void subscribeToEndpoints() {}

    @Override
    public void log(String line) {
      recorded.add(line);
    }
  }

  private void start(boolean doubts, int groups) {
    ConnectBackoff dials = new ConnectBackoff(new SplittableRandom(1), true);
    controller =
        new OverloadController(
            SETTINGS,
            new OverloadSettings(true, true, 0.2, 10, doubts),
            dials,
            new RecordingActions(),
            (crowd, outlet) ->
                new DefaultRoutingPolicy(SETTINGS, new SplittableRandom(2), outlet, crowd));
    List<Endpoint> list = new ArrayList<>();
    for (int i = 0; i < groups; i++) {
      list.add(
          new Endpoint(
              new HostId("h" + i),
              new GroupId(i),
              new ZoneId(""),
              1,
              0,
              true,
              Endpoint.State.READY));
    }
    controller.endpointsReplaced(now, list, true);
  }

  private String arrive(RequestClass product, int group, long mark) {
    String id = "a" + nextId++;
    controller.requestReceived(
        now,
        new Request(
            new RequestId(id), product, null, new GroupId(group), now + 1000 * MS, 0, mark, 0));
    return id;
  }

  private void answer(String id, int group, AttemptOutcome end, boolean over) {
    controller.attemptFinished(
        now,
        new AttemptResult(
            new RequestId(id),
            0,
            new HostId("h" + group),
            end,
            10 * MS,
            over,
            HostRole.UNKNOWN,
            -1,
            LoadReport.NONE));
  }

  /**
   * Its connection broke after the write was sent; the same write with a new id is not run while
   * that may have.
   */
  @Test
  void ambiguousWriteIsNotExecutedAgain() {
    start(true, 1);
    String first = arrive(PAY, 0, 77);
    assertEquals(
        List.of("send " + first + " h0"),
        recorded.stream().filter(each -> each.startsWith("send")).toList());
    controller.clientDisconnected(now, new RequestId(first));
    recorded.clear();
    now += 100 * MS;
    String second = arrive(PAY, 0, 77);
    assertEquals(List.of("up " + second), recorded);
    assertEquals(1, controller.counts().ambiguousWritesFailed);
    answer(first, 0, AttemptOutcome.TIMED_OUT, true);
    String third = arrive(PAY, 0, 77);
    assertTrue(recorded.contains("up " + third), "running out proves nothing");
    String other = arrive(PAY, 0, 78);
    assertTrue(recorded.contains("send " + other + " h0"), "another payment is not held up");
    now += 5100 * MS;
    String late = arrive(PAY, 0, 77);
    assertTrue(recorded.contains("send " + late + " h0"), "nobody comes back for it so late");
  }

  /** Proof that it never ran ends the doubt. */
  @Test
  void refusalByEndpointEndsAmbiguity() {
    start(true, 1);
    String first = arrive(PAY, 0, 77);
    controller.clientDisconnected(now, new RequestId(first));
    answer(first, 0, AttemptOutcome.OVERLOADED, true);
    now += 100 * MS; // a host that refuses rests
    String second = arrive(PAY, 0, 77);
    assertTrue(recorded.contains("send " + second + " h0"), recorded.toString());
  }

  /**
   * Two of one mark at once: that the one was fulfilled, or never ran, says nothing of the other.
   */
  @Test
  void successOfAnotherRequestDoesNotEndAmbiguity() {
    start(true, 1);
    String first = arrive(PAY, 0, 77);
    String second = arrive(PAY, 0, 77);
    assertTrue(recorded.contains("send " + second + " h0"), recorded.toString());
    controller.clientDisconnected(now, new RequestId(first));
    answer(second, 0, AttemptOutcome.SUCCESS, true);
    String third = arrive(PAY, 0, 77);
    assertTrue(recorded.contains("up " + third), "the first may still run");
  }

  @Test
  void twoAmbiguousWritesOfOneFingerprint() {
    start(true, 1);
    String first = arrive(PAY, 0, 77);
    String second = arrive(PAY, 0, 77);
    controller.clientDisconnected(now, new RequestId(first));
    controller.clientDisconnected(now, new RequestId(second));
    answer(second, 0, AttemptOutcome.OVERLOADED, true);
    now += 100 * MS;
    assertTrue(recorded.contains("up " + arrive(PAY, 0, 77)), "the first may still run");
  }

  /**
   * An access that the network ended by itself is not kept for good, nor counted among those that
   * wait.
   */
  @Test
  void overdueRequestsAreRemoved() {
    start(false, 1);
    for (int i = 0; i < 100; i++) {
      arrive(ANY, 7, i + 1); // of a group without hosts
    }
    assertEquals(100, controller.trackedRequestCount());
    now += 2100 * MS; // their outer limit is a second; the decisions are not woken
    controller.clientDisconnected(now, new RequestId("another"));
    assertEquals(0, controller.trackedRequestCount());
  }

  /** Fulfilled is no doubt: the same club pays the same key again. */
  @Test
  void successfulWriteIsNotAmbiguous() {
    start(true, 1);
    String first = arrive(PAY, 0, 77);
    answer(first, 0, AttemptOutcome.SUCCESS, true);
    String second = arrive(PAY, 0, 77);
    assertTrue(recorded.contains("send " + second + " h0"));
  }

  /** Who is told to return is known when it does, and stands before who came meanwhile. */
  @Test
  void requestsReturningAsAdvisedAreServedFirst() {
    start(false, 1);
    List<String> sent = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      sent.add(arrive(ANY, 0, 1000 + i));
    }
    now += 700 * MS; // half of their time: the parked go back
    controller.timerFired(now);
    List<String> back = recorded.stream().filter(each -> each.startsWith("back")).toList();
    assertTrue(back.size() > 20, recorded.toString());
    for (String each :
        back.subList(0, back.size() - 1)) { // with the last one nobody waits here any more
      long wait = Long.parseLong(each.split(" ")[2]);
      assertTrue(wait > 0 && wait <= 500, each);
    }
    String fresh = arrive(ANY, 0, 5);
    now += 100 * MS;
    String returns =
        arrive(ANY, 0, 1000 + Integer.parseInt(back.get(0).split(" ")[1].substring(1)));
    assertEquals(1, controller.counts().returnedAsAdvised);
    recorded.clear();
    String out = sent.get(0);
    answer(out, 0, AttemptOutcome.SUCCESS, true);
    assertEquals(
        "send " + returns + " h0",
        recorded.stream()
            .filter(each -> each.startsWith("send"))
            .findFirst()
            .orElse("none, " + fresh + " waits"));
  }

  /** One group storms: the other one's state, budget and waits are untouched. */
  @Test
  void overloadOfOneGroupLeavesOthersNormal() {
    start(false, 2);
    for (int round = 0; round < 60; round++) {
      for (int i = 0; i < 20; i++) {
        String id = arrive(ANY, 0, 1 + i);
        controller.clientDisconnected(now, new RequestId(id));
        if (recorded.contains("send " + id + " h0")) {
          answer(id, 0, AttemptOutcome.TIMED_OUT, true);
        }
      }
      String calm = arrive(ANY, 1, 10_000 + round);
      answer(calm, 1, AttemptOutcome.SUCCESS, true);
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

  /**
   * Many clients that ask for one hot key are no repeats, though now and then one of them has no
   * answer.
   */
  @Test
  void requestsForHotKeysAreNotRepeats() {
    start(false, 1);
    for (int i = 0; i < 1000; i++) {
      String id = arrive(ANY, 0, 7);
      if (i % 20 == 0) {
        controller.clientDisconnected(now, new RequestId(id));
        answer(id, 0, AttemptOutcome.CANCELLED, true);
      } else {
        answer(id, 0, AttemptOutcome.SUCCESS, true);
      }
      now += 2 * MS;
    }
    assertTrue(
        controller.counts().repeatedRequests <= 50,
        controller.counts().repeatedRequests + " of 50 that had no answer");
    assertEquals(OverloadDetector.State.NORMAL, controller.state());
  }
}
