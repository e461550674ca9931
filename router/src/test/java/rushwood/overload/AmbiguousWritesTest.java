package rushwood.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.overload.OverloadControllerFixture.PAYMENT;

import java.util.List;
import org.junit.jupiter.api.Test;
import rushwood.api.AttemptOutcome;

/** Tests repeats of writes that may have been executed, with the operator's setting enabled. */
class AmbiguousWritesTest {
  private static final int GROUP = 0;
  private static final long FINGERPRINT = 77;

  private final OverloadControllerFixture fixture = new OverloadControllerFixture(true, 1);

  private String receive() {
    return fixture.receive(PAYMENT, GROUP, FINGERPRINT);
  }

  private void finishAttempt(String id, AttemptOutcome outcome) {
    fixture.finishAttempt(id, GROUP, outcome, true);
  }

  private boolean wasSent(String id) {
    return fixture.wasSent(id, GROUP);
  }

  /** A client disconnects after its write was sent, and repeats the write under a new id. */
  @Test
  void ambiguousWriteIsNotExecutedAgain() {
    String first = receive();
    assertEquals(List.of("send " + first + " h0"), fixture.recorded("send"));
    fixture.disconnect(first);
    fixture.clearRecord();
    fixture.advanceMillis(100);
    String second = receive();
    assertEquals(List.of("fail " + second), fixture.recorded());
    assertEquals(1, fixture.controller.counts().ambiguousWritesFailed());
    finishAttempt(first, AttemptOutcome.TIMED_OUT);
    String third = receive();
    assertTrue(
        fixture.wasFailed(third), "a timeout does not prove that the write was not executed");
    String withOtherFingerprint = fixture.receive(PAYMENT, GROUP, FINGERPRINT + 1);
    assertTrue(wasSent(withOtherFingerprint), "another fingerprint is not affected");
    fixture.advanceMillis(5100);
    String afterWindow = receive();
    assertTrue(wasSent(afterWindow), "the idempotency window is over");
  }

  /** A refusal proves that the write was not executed. */
  @Test
  void refusalByHostEndsAmbiguity() {
    String first = receive();
    fixture.disconnect(first);
    finishAttempt(first, AttemptOutcome.OVERLOADED);
    fixture.advanceMillis(100); // the policy pauses a host that refused an attempt
    String second = receive();
    assertTrue(wasSent(second), fixture.recorded().toString());
  }

  /** The outcome of one of two requests with the same fingerprint says nothing about the other. */
  @Test
  void successOfAnotherRequestDoesNotEndAmbiguity() {
    String first = receive();
    String second = receive();
    assertTrue(wasSent(second), fixture.recorded().toString());
    fixture.disconnect(first);
    finishAttempt(second, AttemptOutcome.SUCCESS);
    String third = receive();
    assertTrue(fixture.wasFailed(third), "the first write may still be executed");
  }

  @Test
  void refusalOfOneOfTwoAmbiguousWritesDoesNotEndAmbiguity() {
    String first = receive();
    String second = receive();
    fixture.disconnect(first);
    fixture.disconnect(second);
    finishAttempt(second, AttemptOutcome.OVERLOADED);
    fixture.advanceMillis(100);
    assertTrue(fixture.wasFailed(receive()), "the first write may still be executed");
  }

  /** A client may send the same payment again after a successful one. */
  @Test
  void successfulWriteIsNotAmbiguous() {
    String first = receive();
    finishAttempt(first, AttemptOutcome.SUCCESS);
    String second = receive();
    assertTrue(wasSent(second));
  }
}
