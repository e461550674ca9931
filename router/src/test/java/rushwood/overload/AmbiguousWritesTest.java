package rushwood.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.overload.OverloadControllerFixture.PAYMENT;

import java.util.List;
import org.junit.jupiter.api.Test;
import rushwood.api.AttemptOutcome;

/** Repeats of writes that may have been executed. */
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

  /** The client disconnects after its write was sent, and repeats it under a new id. */
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
    assertTrue(fixture.wasFailed(third), "a timeout does not prove that it was not executed");
    String other = fixture.receive(PAYMENT, GROUP, FINGERPRINT + 1);
    assertTrue(wasSent(other), "another fingerprint is not affected");
    fixture.advanceMillis(5100);
    String late = receive();
    assertTrue(wasSent(late), "the idempotency window is over");
  }

  /** A refusal proves that the write was not executed. */
  @Test
  void refusalByHostEndsAmbiguity() {
    String first = receive();
    fixture.disconnect(first);
    finishAttempt(first, AttemptOutcome.OVERLOADED);
    fixture.advanceMillis(100); // a host that refuses is not used for a while
    String second = receive();
    assertTrue(wasSent(second), fixture.recorded().toString());
  }

  /** Two requests of one fingerprint: the outcome of one says nothing of the other. */
  @Test
  void successOfAnotherRequestDoesNotEndAmbiguity() {
    String first = receive();
    String second = receive();
    assertTrue(wasSent(second), fixture.recorded().toString());
    fixture.disconnect(first);
    finishAttempt(second, AttemptOutcome.SUCCESS);
    String third = receive();
    assertTrue(fixture.wasFailed(third), "the first may still be executed");
  }

  @Test
  void refusalOfOneOfTwoAmbiguousWritesDoesNotEndAmbiguity() {
    String first = receive();
    String second = receive();
    fixture.disconnect(first);
    fixture.disconnect(second);
    finishAttempt(second, AttemptOutcome.OVERLOADED);
    fixture.advanceMillis(100);
    assertTrue(fixture.wasFailed(receive()), "the first may still be executed");
  }

  /** The same client may send the same payment again. */
  @Test
  void successfulWriteIsNotAmbiguous() {
    String first = receive();
    finishAttempt(first, AttemptOutcome.SUCCESS);
    String second = receive();
    assertTrue(wasSent(second));
  }
}
