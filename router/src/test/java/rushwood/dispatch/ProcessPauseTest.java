package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rushwood.dispatch.DispatcherFixture.REQUEST;
import static rushwood.dispatch.DispatcherFixture.host;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import rushwood.api.AttemptOutcome;
import rushwood.api.Endpoint;

/**
 * Tests that no statement is written to a draining host after a long pause of the process. A turn
 * of the event loop after the pause may read clients before discovery, so attempts started in it
 * are written a turn later, unless their host is draining by then.
 */
class ProcessPauseTest {
  @RegisterExtension final DispatcherFixture fixture = new DispatcherFixture();

  private static final long PAUSE_MILLIS = 600;

  @Test
  void attemptAfterPauseIsWrittenAfterEndpointListIsRead() {
    fixture.onAttemptFinished = () -> fixture.actions.reject(REQUEST, 0);
    fixture.serveRequest();
    fixture.loop.advanceTo(100);
    fixture.loop.pause(PAUSE_MILLIS);
    fixture.recorded.clear();
    fixture.receiveRequest();
    assertEquals(1, fixture.connections.get(0).sent.size(), "not written yet");
    fixture.updateEndpoints(host(Endpoint.State.DRAINING));
    fixture.expectRecorded("updated 1", "0 NOT_SENT after 0", "released", "rejection 0");
    fixture.replaceEndpoints(host(Endpoint.State.READY));
    fixture.loop.advanceBy(100);
    fixture.serveRequest();
    fixture.loop.advanceBy(100);
    fixture.loop.pause(PAUSE_MILLIS);
    fixture.receiveRequest();
    assertEquals(1, fixture.connections.get(1).sent.size(), "not written yet");
    fixture.loop.advanceBy(2);
    assertEquals(2, fixture.connections.get(1).sent.size(), "the host is still ready");
    fixture.connections.get(1).respond(AttemptOutcome.SUCCESS);
    assertEquals(2, fixture.counters.get(Counter.ATTEMPTS_DEFERRED));
  }

  /** The first turn after a pause may read no sockets, so the second may be the first to read. */
  @Test
  void attemptInSecondTurnAfterPauseIsDeferred() {
    fixture.onAttemptFinished = () -> fixture.actions.reject(REQUEST, 0);
    fixture.serveRequest();
    fixture.loop.advanceTo(100);
    fixture.loop.pause(PAUSE_MILLIS);
    fixture.loop.pause(10);
    fixture.recorded.clear();
    fixture.receiveRequest();
    assertEquals(1, fixture.connections.get(0).sent.size(), "not written yet");
    fixture.updateEndpoints(host(Endpoint.State.DRAINING));
    fixture.expectRecorded("updated 1", "0 NOT_SENT after 0", "released", "rejection 0");
  }

  /** A turn may be long because of a garbage collection or a burst of requests. */
  @Test
  void attemptInLongTurnIsDeferred() {
    fixture.onAttemptFinished = () -> fixture.actions.reject(REQUEST, 0);
    fixture.serveRequest();
    fixture.loop.advanceTo(100);
    fixture.clock.now();
    fixture.loop.stall(PAUSE_MILLIS);
    fixture.receiveRequest();
    assertEquals(1, fixture.connections.get(0).sent.size(), "not written yet");
    fixture.actions.cancel(REQUEST, 0);
    fixture.loop.advanceBy(10);
    assertEquals(1, fixture.connections.get(0).sent.size(), "a cancelled attempt is not written");
    fixture.serveRequest();
    assertEquals(1, fixture.connections.size(), "the connection is reused");
  }
}
