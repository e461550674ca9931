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

/** The overload controller in front of the default routing policy. */
class OverloadControllerTest {
  /**
   * A request that the dispatcher ended without an event is neither kept for good nor counted as
   * waiting.
   */
  @Test
  void overdueRequestsAreRemoved() {
    OverloadControllerFixture fixture = new OverloadControllerFixture(false, 1);
    int groupWithoutHosts = 7;
    for (int i = 0; i < 100; i++) {
      fixture.receive(READ, groupWithoutHosts, i + 1);
    }
    assertEquals(100, fixture.controller.trackedRequestCount());
    fixture.advanceMillis(2100); // their deadline was after one second; no timer has fired
    fixture.disconnect("another");
    assertEquals(0, fixture.controller.trackedRequestCount());
  }

  /** A client that returns after the Retry-After it was told comes before later arrivals. */
  @Test
  void requestsReturningAsAdvisedAreServedFirst() {
    OverloadControllerFixture fixture = new OverloadControllerFixture(false, 1);
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      ids.add(fixture.receive(READ, 0, 1000 + i));
    }
    fixture.advanceMillis(700); // queued requests are rejected
    fixture.fireTimer();
    List<String> rejections = fixture.recorded("reject");
    assertTrue(rejections.size() > 20, fixture.recorded().toString());
    // The last one is rejected when no other waits, so it may be told no wait.
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

  /** State, retry budget and Retry-After times of one group do not depend on another. */
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

  /** Many clients read one key, and a few of them get no answer. */
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
    assertTrue(repeats <= 50, repeats + " of 50 that had no answer");
    assertEquals(OverloadState.NORMAL, fixture.controller.state());
  }
}
