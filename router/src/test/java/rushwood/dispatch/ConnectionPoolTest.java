package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import rushwood.api.AttemptOutcome;
import rushwood.api.Endpoint;
import rushwood.api.HostId;

/** When connections to hosts are opened, reused and closed. */
class ConnectionPoolTest extends DispatcherFixture {
  @Test
  void oldestIdleConnectionIsClosedAtTheLimit() {
    onAttemptFinished = () -> actions.reject(REQUEST, 0);
    actions.checkHealth(HOST);
    actions.checkHealth(HOST);
    receiveRequest();
    expectRecorded("0 NOT_SENT after 0", "released", "rejection 0");
    assertEquals(2, connections.size());
    connections.get(0).listener.connected();
    connections.get(0).respond(AttemptOutcome.SUCCESS);
    expectRecorded("checked true");
    updateEndpoints(endpoint("b", 2, Endpoint.State.READY));
    recorded.clear();
    actions.checkHealth(new HostId("b"));
    assertEquals(3, connections.size(), "an idle connection makes room");
    assertFalse(connections.get(0).open);
  }

  @Test
  void idleConnectionIsClosedWellBeforeTheHostDoes() {
    FakeConnection connection = serveRequest();
    loop.advanceTo(14_000);
    assertTrue(connection.open);
    loop.advanceTo(17_000);
    assertFalse(connection.open);
  }

  /** Excess data behind a response has to be seen before the connection is used again. */
  @Test
  void connectionIsNotReusedAtOnce() {
    serveRequest();
    serveRequest();
    assertEquals(2, connections.size());
    loop.advanceTo(5);
    serveRequest();
    assertEquals(2, connections.size());
  }

  /** For a while, connections are not reused that were idle for as long as one that broke. */
  @Test
  void brokenReuseLowersTheIdleLimit() {
    onAttemptFinished = () -> actions.fail(REQUEST);
    serveRequest();
    loop.advanceTo(400);
    receiveRequestAndConnect().listener.connectionLost(true);
    serveRequest();
    loop.advanceTo(550);
    serveRequest();
    assertEquals(2, connections.size(), "150 ms are still safe");
    loop.advanceTo(800);
    serveRequest();
    assertEquals(3, connections.size(), "250 ms are not");
  }

  @Test
  void connectionToAnOldAddressIsClosed() {
    FakeConnection idle = serveRequest();
    loop.advanceTo(10);
    FakeConnection busy = receiveRequestAndConnect();
    assertEquals(idle, busy);
    updateEndpoints(endpoint("a", 9, Endpoint.State.READY));
    busy.respond(AttemptOutcome.SUCCESS);
    assertFalse(busy.open);
  }
}
