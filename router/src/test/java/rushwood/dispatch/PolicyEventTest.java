package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static rushwood.dispatch.FakeEventLoop.NANOS_PER_MILLI;

import java.util.List;
import org.junit.jupiter.api.Test;
import rushwood.api.AttemptOutcome;

/** Health checks, timers and failures of the policy. */
class PolicyEventTest extends DispatcherFixture {
  @Test
  void healthCheckTimesOut() {
    actions.checkHealth(HOST);
    connections.get(0).listener.connected();
    assertEquals(List.of("health check"), connections.get(0).sent);
    loop.advanceTo(250);
    expectRecorded("checked false");
    assertFalse(connections.get(0).open);
  }

  /** An exception ends one call or one task alone; the request in question is answered. */
  @Test
  void exceptionEndsOneCallOnly() {
    onAttemptFinished =
        () -> {
          throw new IllegalStateException("on purpose");
        };
    receiveRequestAndConnect().respond(AttemptOutcome.ERROR);
    expectRecorded("0 ERROR after 0", "failure", "released");
    timers.schedule(50 * NANOS_PER_MILLI, onAttemptFinished);
    actions.wakeAt(50 * NANOS_PER_MILLI);
    loop.advanceTo(60);
    expectRecorded("timer 50");
    assertEquals(2, counters.get(Counter.EXCEPTIONS_CAUGHT));
  }

  @Test
  void newTimerReplacesTheLast() {
    actions.wakeAt(50 * NANOS_PER_MILLI);
    actions.wakeAt(20 * NANOS_PER_MILLI);
    loop.advanceTo(60);
    expectRecorded("timer 20");
  }
}
