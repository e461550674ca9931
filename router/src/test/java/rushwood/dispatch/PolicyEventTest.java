package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static rushwood.dispatch.DispatcherFixture.HOST;
import static rushwood.dispatch.FakeEventLoop.NANOS_PER_MILLI;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import rushwood.api.AttemptOutcome;

/** Tests health checks, timers and exceptions of the policy. */
class PolicyEventTest {
  @RegisterExtension final DispatcherFixture fixture = new DispatcherFixture();

  @Test
  void healthCheckTimesOut() {
    fixture.actions.checkHealth(HOST);
    fixture.connections.get(0).listener.connected();
    assertEquals(List.of("health check"), fixture.connections.get(0).sent);
    fixture.loop.advanceTo(250);
    fixture.expectRecorded("checked false");
    assertFalse(fixture.connections.get(0).open);
  }

  /** An exception ends only one policy call or task, and the request concerned is answered. */
  @Test
  void exceptionEndsOnlyOneCall() {
    fixture.onAttemptFinished =
        () -> {
          throw new IllegalStateException("on purpose");
        };
    fixture.receiveRequestAndConnect().respond(AttemptOutcome.ERROR);
    fixture.expectRecorded("0 ERROR after 0", "failure", "released");
    fixture.timers.schedule(50 * NANOS_PER_MILLI, fixture.onAttemptFinished);
    fixture.actions.wakeAt(50 * NANOS_PER_MILLI);
    fixture.loop.advanceTo(60);
    fixture.expectRecorded("timer 50");
    assertEquals(2, fixture.counters.get(Counter.EXCEPTIONS_CAUGHT));
  }

  @Test
  void newTimerReplacesPreviousOne() {
    fixture.actions.wakeAt(50 * NANOS_PER_MILLI);
    fixture.actions.wakeAt(20 * NANOS_PER_MILLI);
    fixture.loop.advanceTo(60);
    fixture.expectRecorded("timer 20");
  }
}
