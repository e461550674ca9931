package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rushwood.dispatch.DispatcherFixture.REQUEST;
import static rushwood.dispatch.DispatcherFixture.host;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import rushwood.api.AttemptOutcome;
import rushwood.api.Endpoint;

/**
 * After a pause of the process of more than a quarter of the drain grace a turn of the event loop
 * may read clients before discovery. Attempts that are started then are written a turn later,
 * unless their host has left meanwhile.
 */
class ProcessPauseTest {
  @RegisterExtension final DispatcherFixture fixture = new DispatcherFixture();

  private static final long PAUSE_MILLIS = 600;

  @Test
  void attemptAfterPauseIsWrittenOnceTheEndpointListWasRead() {
    fixture.onAttemptFinished = () -> fixture.actions.reject(REQUEST, 0);
    fixture.serveRequest();
    fixture.loop.advanceTo(100);
    fixture.loop.pause(PAUSE_MILLIS);
    fixture.recorded.clear();
    fixture.receiveRequest();
    assertEquals(1, fixture.connections.get(0).sent.size(), "not yet");
    fixture.updateEndpoints(host(Endpoint.State.DRAINING));
    fixture.expectRecorded("updated 1", "0 NOT_SENT after 0", "released", "rejection 0");
    fixture.replaceEndpoints(host(Endpoint.State.READY));
    fixture.loop.advanceBy(100);
    fixture.serveRequest();
    fixture.loop.advanceBy(100);
    fixture.loop.pause(PAUSE_MILLIS);
    fixture.receiveRequest();
    assertEquals(1, fixture.connections.get(1).sent.size(), "not yet");
    fixture.loop.advanceBy(2);
    assertEquals(2, fixture.connections.get(1).sent.size(), "its host is still there");
    fixture.connections.get(1).respond(AttemptOutcome.SUCCESS);
    assertEquals(2, fixture.counters.get(Counter.ATTEMPTS_DEFERRED));
  }

  /** The first turn after a pause may read no socket: then the second is the first that does. */
  @Test
  void attemptInTheSecondTurnAfterPauseIsDeferred() {
    fixture.onAttemptFinished = () -> fixture.actions.reject(REQUEST, 0);
    fixture.serveRequest();
    fixture.loop.advanceTo(100);
    fixture.loop.pause(PAUSE_MILLIS);
    fixture.loop.pause(10);
    fixture.recorded.clear();
    fixture.receiveRequest();
    assertEquals(1, fixture.connections.get(0).sent.size(), "not yet");
    fixture.updateEndpoints(host(Endpoint.State.DRAINING));
    fixture.expectRecorded("updated 1", "0 NOT_SENT after 0", "released", "rejection 0");
  }

  /** As with a garbage collection, or a burst of requests, within the turn. */
  @Test
  void attemptInLongTurnIsDeferred() {
    fixture.onAttemptFinished = () -> fixture.actions.reject(REQUEST, 0);
    fixture.serveRequest();
    fixture.loop.advanceTo(100);
    fixture.clock.now();
    fixture.loop.stall(PAUSE_MILLIS);
    fixture.receiveRequest();
    assertEquals(1, fixture.connections.get(0).sent.size(), "not yet");
    fixture.actions.cancel(REQUEST, 0);
    fixture.loop.advanceBy(10);
    assertEquals(
        1, fixture.connections.get(0).sent.size(), "it was cancelled before it was written");
    fixture.serveRequest();
    assertEquals(1, fixture.connections.size(), "its connection is idle again");
  }
}
