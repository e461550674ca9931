package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import rushwood.api.AttemptOutcome;
import rushwood.api.Endpoint;

/**
 * After a pause of the process of more than a quarter of the drain grace a turn of the event loop
 * may read clients before discovery. Attempts that are started then are written a turn later,
 * unless their host has left meanwhile.
 */
class ProcessPauseTest extends DispatcherFixture {
  private static final long PAUSE_MILLIS = 600;

  @Test
  void attemptAfterPauseIsWrittenOnceTheEndpointListWasRead() {
    onAttemptFinished = () -> actions.reject(REQUEST, 0);
    serveRequest();
    loop.advanceTo(100);
    loop.pause(PAUSE_MILLIS);
    recorded.clear();
    receiveRequest();
    assertEquals(1, connections.get(0).sent.size(), "not yet");
    updateEndpoints(host(Endpoint.State.DRAINING));
    expectRecorded("updated 1", "0 NOT_SENT after 0", "released", "rejection 0");
    replaceEndpoints(host(Endpoint.State.READY));
    loop.advanceBy(100);
    serveRequest();
    loop.advanceBy(100);
    loop.pause(PAUSE_MILLIS);
    receiveRequest();
    assertEquals(1, connections.get(1).sent.size(), "not yet");
    loop.advanceBy(2);
    assertEquals(2, connections.get(1).sent.size(), "its host is still there");
    connections.get(1).respond(AttemptOutcome.SUCCESS);
    assertEquals(2, counters.get(Counter.ATTEMPTS_DEFERRED));
  }

  /** The first turn after a pause may read no socket: then the second is the first that does. */
  @Test
  void attemptInTheSecondTurnAfterPauseIsDeferred() {
    onAttemptFinished = () -> actions.reject(REQUEST, 0);
    serveRequest();
    loop.advanceTo(100);
    loop.pause(PAUSE_MILLIS);
    loop.pause(10);
    recorded.clear();
    receiveRequest();
    assertEquals(1, connections.get(0).sent.size(), "not yet");
    updateEndpoints(host(Endpoint.State.DRAINING));
    expectRecorded("updated 1", "0 NOT_SENT after 0", "released", "rejection 0");
  }

  /** As with a garbage collection, or a burst of requests, within the turn. */
  @Test
  void attemptInLongTurnIsDeferred() {
    onAttemptFinished = () -> actions.reject(REQUEST, 0);
    serveRequest();
    loop.advanceTo(100);
    clock.now();
    loop.stall(PAUSE_MILLIS);
    receiveRequest();
    assertEquals(1, connections.get(0).sent.size(), "not yet");
    actions.cancel(REQUEST, 0);
    loop.advanceBy(10);
    assertEquals(1, connections.get(0).sent.size(), "it was cancelled before it was written");
    serveRequest();
    assertEquals(1, connections.size(), "its connection is idle again");
  }
}
