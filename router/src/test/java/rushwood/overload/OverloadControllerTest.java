package rushwood.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.overload.OverloadControllerFixture.READ;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushwood.api.AttemptOutcome;
import rushwood.api.GroupId;
import rushwood.api.OverloadSignals;

/** Tests the overload controller with the default routing policy. */
class OverloadControllerTest {
  /** A request that the dispatcher ended without an event must not stay tracked forever. */
  @Test
  void overdueRequestsAreRemoved() {
    OverloadControllerFixture fixture = new OverloadControllerFixture(false, 1);
    int groupWithoutHosts = 7;
    for (int i = 0; i < 100; i++) {
      fixture.receive(READ, groupWithoutHosts, i + 1);
    }
    assertEquals(100, fixture.controller.trackedRequestCount());
    fixture.advanceMillis(2100); // past the deadline and the grace time; no timer has fired
    fixture.disconnect("unknown"); // this event ends the tick that is due
    assertEquals(0, fixture.controller.trackedRequestCount());
  }

  /** A request that returns after its Retry-After is served before requests that arrived since. */
  @Test
  void requestsReturningAsAdvisedAreServedFirst() {
    OverloadControllerFixture fixture = new OverloadControllerFixture(false, 1);
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      ids.add(fixture.receive(READ, 0, 1000 + i));
    }
    fixture.advanceMillis(700); // long enough for the policy to reject queued requests
    fixture.fireTimer();
    List<String> rejections = fixture.recorded("reject");
    assertTrue(rejections.size() > 20, fixture.recorded().toString());
    // No other request waits when the last one is rejected, so it may get no Retry-After.
    for (String rejection : rejections.subList(0, rejections.size() - 1)) {
      long waitMillis = Long.parseLong(rejection.split(" ")[2]);
      assertTrue(waitMillis > 0 && waitMillis <= 500, rejection);
    }
    String later = fixture.receive(READ, 0, 5);
    fixture.advanceMillis(100);
    int firstRejected = ids.indexOf(rejections.get(0).split(" ")[1]);
    String returning = fixture.receive(READ, 0, 1000 + firstRejected);
    assertEquals(1, fixture.controller.counts().returnedAsAdvised());
    fixture.clearRecord();
    fixture.finishAttempt(ids.get(0), 0, AttemptOutcome.SUCCESS, true);
    assertEquals(
        "send " + returning + " h0",
        fixture.recorded("send").stream().findFirst().orElse("none, " + later + " waits"));
  }

  /** The state and the retry budget of a group do not depend on other groups. */
  @Test
  void overloadOfOneGroupLeavesOthersNormal() {
    OverloadControllerFixture fixture = new OverloadControllerFixture(false, 2);
    GroupId overloaded = new GroupId(0);
    GroupId unaffected = new GroupId(1);
    for (int round = 0; round < 60; round++) {
      for (int i = 0; i < 20; i++) {
        String id = fixture.receive(READ, 0, 1 + i);
        fixture.disconnect(id);
        if (fixture.wasSent(id, 0)) {
          fixture.finishAttempt(id, 0, AttemptOutcome.TIMED_OUT, true);
        }
      }
      String id = fixture.receive(READ, 1, 10_000 + round);
      fixture.finishAttempt(id, 1, AttemptOutcome.SUCCESS, true);
      fixture.advanceMillis(50);
      fixture.fireTimer();
    }
    OverloadController controller = fixture.controller;
    assertEquals(
        OverloadState.OVERLOADED, controller.state(overloaded), fixture.recorded().toString());
    assertEquals(OverloadState.NORMAL, controller.state(unaffected));
    OverloadSignals signals = controller.signals();
    assertTrue(signals.canRetry(fixture.now(), unaffected));
    for (int i = 0; i < 100; i++) {
      signals.attemptSent(fixture.now(), overloaded, true);
    }
    assertFalse(signals.canRetry(fixture.now(), overloaded));
    assertTrue(signals.canRetry(fixture.now(), unaffected));
  }

  /**
   * Many clients read the same key and a few of them get no answer; the others do not repeat them.
   */
  @Test
  void requestsForHotKeysAreNotRepeats() {
    OverloadControllerFixture fixture = new OverloadControllerFixture(false, 1);
    for (int i = 0; i < 1000; i++) {
      String id = fixture.receive(READ, 0, 7);
      if (i % 20 == 0) {
        fixture.disconnect(id);
        fixture.finishAttempt(id, 0, AttemptOutcome.CANCELLED, true);
      } else {
        fixture.finishAttempt(id, 0, AttemptOutcome.SUCCESS, true);
      }
      fixture.advanceMillis(2);
    }
    long repeats = fixture.controller.counts().repeatedRequests();
    assertTrue(repeats <= 50, repeats + " repeats counted for 50 unanswered requests");
    assertEquals(OverloadState.NORMAL, fixture.controller.state());
  }
}
