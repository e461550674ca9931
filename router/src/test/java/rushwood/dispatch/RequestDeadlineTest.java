package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rushwood.dispatch.FakeEventLoop.NANOS_PER_MILLI;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Tests the time from which the timeout of a request counts, and the bound at shutdown. */
class RequestDeadlineTest {
  @RegisterExtension final DispatcherFixture fixture = new DispatcherFixture();

  /**
   * Input that arrives during a pause is not read before the pause ends, so the pause counts as
   * waiting.
   */
  @Test
  void deadlineCountsFromStartOfPause() {
    fixture.loop.advanceTo(1000);
    fixture.clock.now();
    assertEquals(
        1430 * NANOS_PER_MILLI, deadlineOfRequestReadAt(1030), "a gap of 30 ms is not a pause");
    assertEquals(1430 * NANOS_PER_MILLI, deadlineOfRequestReadAt(1330));
    assertEquals(
        1430 * NANOS_PER_MILLI,
        deadlineOfRequestReadAt(1335),
        "the request may have waited in a connection that was accepted after the pause");
    assertEquals(1760 * NANOS_PER_MILLI, deadlineOfRequestReadAt(1360));
  }

  /** Input that arrives during a turn is read in the next turn. */
  @Test
  void deadlineCountsFromStartOfBusyTurn() {
    fixture.loop.advanceTo(1000);
    fixture.clock.now();
    fixture.loop.stall(30);
    assertEquals(1400 * NANOS_PER_MILLI, deadlineOfRequestReadAt(1031));
  }

  /** While the event loop waits, input is read as soon as it arrives. */
  @Test
  void deadlineCountsFromCurrentTimeAfterIdleLoop() {
    fixture.loop.advanceTo(1000);
    fixture.clock.now();
    fixture.loop.stall(3);
    assertEquals(1420 * NANOS_PER_MILLI, deadlineOfRequestReadAt(1020));
  }

  @Test
  void deadlineIsBoundedByShutdown() {
    fixture.dispatcher.shuttingDown(300 * NANOS_PER_MILLI);
    assertEquals(300 * NANOS_PER_MILLI, deadlineOfRequestReadAt(100));
  }

  /** Returns the deadline of a request that is read in a new turn at the given time. */
  private long deadlineOfRequestReadAt(long millis) {
    fixture.loop.endTurn();
    fixture.loop.setTimeNanos(millis * NANOS_PER_MILLI);
    fixture.serveRequest();
    return fixture.requestDeadline;
  }
}
