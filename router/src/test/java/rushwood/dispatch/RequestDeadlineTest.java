package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rushwood.dispatch.FakeEventLoop.NANOS_PER_MILLI;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** From when a request's deadline counts, and what bounds it. */
class RequestDeadlineTest {
  @RegisterExtension final DispatcherFixture fixture = new DispatcherFixture();

  /** What arrives during a pause is left unread until its end, so the pause counts as waiting. */
  @Test
  void deadlineCountsFromTheStartOfPause() {
    fixture.loop.advanceTo(1000);
    fixture.clock.now();
    assertEquals(1430 * NANOS_PER_MILLI, deadlineOfRequestReadAt(1030), "idleness is no pause");
    assertEquals(1430 * NANOS_PER_MILLI, deadlineOfRequestReadAt(1330));
    assertEquals(
        1430 * NANOS_PER_MILLI,
        deadlineOfRequestReadAt(1335),
        "its connection was accepted only after the pause");
    assertEquals(1760 * NANOS_PER_MILLI, deadlineOfRequestReadAt(1360));
  }

  /** What arrives while a turn is at work is read in the next one. */
  @Test
  void deadlineCountsFromTheStartOfABusyTurn() {
    fixture.loop.advanceTo(1000);
    fixture.clock.now();
    fixture.loop.stall(30);
    assertEquals(1400 * NANOS_PER_MILLI, deadlineOfRequestReadAt(1031));
  }

  /** While the loop waits, input is read as it comes. */
  @Test
  void deadlineCountsFromNowAfterAWait() {
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

  /** The deadline of a request that is read in a new turn at that time. */
  private long deadlineOfRequestReadAt(long millis) {
    fixture.loop.endTurn();
    fixture.loop.setTimeNanos(millis * NANOS_PER_MILLI);
    fixture.serveRequest();
    return fixture.requestDeadline;
  }
}
