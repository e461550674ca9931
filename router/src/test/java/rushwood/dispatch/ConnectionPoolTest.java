package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.dispatch.DispatcherFixture.HOST;
import static rushwood.dispatch.DispatcherFixture.REQUEST;
import static rushwood.dispatch.DispatcherFixture.endpoint;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import rushwood.api.AttemptOutcome;
import rushwood.api.Endpoint;
import rushwood.api.HostId;

/** Tests when connections to hosts are opened, reused and closed. */
class ConnectionPoolTest {
  @RegisterExtension final DispatcherFixture fixture = new DispatcherFixture();

  @Test
  void longestIdleConnectionIsClosedAtDescriptorLimit() {
    fixture.onAttemptFinished = () -> fixture.actions.reject(REQUEST, 0);
    fixture.actions.checkHealth(HOST);
    fixture.actions.checkHealth(HOST);
    fixture.receiveRequest();
    fixture.expectRecorded("0 NOT_SENT after 0", "released", "rejection 0");
    assertEquals(2, fixture.connections.size());
    fixture.connections.get(0).listener.connected();
    fixture.connections.get(0).respond(AttemptOutcome.SUCCESS);
    fixture.expectRecorded("checked true");
    fixture.updateEndpoints(endpoint("b", 2, Endpoint.State.READY));
    fixture.recorded.clear();
    fixture.actions.checkHealth(new HostId("b"));
    assertEquals(
        3, fixture.connections.size(), "an idle connection is closed to free its descriptor");
    assertFalse(fixture.connections.get(0).open);
  }

  @Test
  void idleConnectionIsClosedBeforeHostTimeout() {
    DispatcherFixture.FakeConnection connection = fixture.serveRequest();
    fixture.loop.advanceTo(14_000);
    assertTrue(connection.open);
    fixture.loop.advanceTo(17_000);
    assertFalse(connection.open);
  }

  /** The reuse delay leaves time to detect excess data that follows a response. */
  @Test
  void connectionIsNotReusedWithinReuseDelay() {
    fixture.serveRequest();
    fixture.serveRequest();
    assertEquals(2, fixture.connections.size());
    fixture.loop.advanceTo(5);
    fixture.serveRequest();
    assertEquals(2, fixture.connections.size());
  }

  /**
   * For some time after a reused connection broke, only connections that were idle for a shorter
   * time are reused.
   */
  @Test
  void failedReuseLowersIdleLimit() {
    fixture.onAttemptFinished = () -> fixture.actions.fail(REQUEST);
    fixture.serveRequest();
    fixture.loop.advanceTo(400);
    fixture.receiveRequestAndConnect().listener.connectionLost(true);
    fixture.serveRequest();
    fixture.loop.advanceTo(550);
    fixture.serveRequest();
    assertEquals(2, fixture.connections.size(), "150 ms is below the idle limit");
    fixture.loop.advanceTo(800);
    fixture.serveRequest();
    assertEquals(3, fixture.connections.size(), "250 ms is above the idle limit");
  }

  @Test
  void connectionToFormerAddressIsClosed() {
    DispatcherFixture.FakeConnection idle = fixture.serveRequest();
    fixture.loop.advanceTo(10);
    DispatcherFixture.FakeConnection busy = fixture.receiveRequestAndConnect();
    assertEquals(idle, busy);
    fixture.updateEndpoints(endpoint("a", 9, Endpoint.State.READY));
    busy.respond(AttemptOutcome.SUCCESS);
    assertFalse(busy.open);
  }

  /**
   * A second copy of a response that waited unread in the socket was taken for the response to the
   * next statement, so clients got the values of others.
   */
  @Test
  void connectionWithUnreadInputIsNotReused() {
    DispatcherFixture.FakeConnection copied = fixture.serveRequest();
    copied.hasUnreadInput = true;
    fixture.loop.advanceTo(5);
    DispatcherFixture.FakeConnection next = fixture.serveRequest();
    assertEquals(2, fixture.connections.size());
    assertEquals(1, copied.sent.size());
    assertEquals(1, next.sent.size());
    assertFalse(copied.open);
  }

  /** The reuse delay counts from when the response was read, which may be late in a long turn. */
  @Test
  void reuseDelayCountsFromTheReadOfTheResponse() {
    DispatcherFixture.FakeConnection connection = fixture.receiveRequestAndConnect();
    fixture.loop.stall(10);
    connection.respond(AttemptOutcome.SUCCESS);
    fixture.loop.endTurn();
    fixture.serveRequest();
    assertEquals(2, fixture.connections.size(), "the next turn begins right after the read");
  }

  /** A deferred statement is not written behind input that arrived in the meantime. */
  @Test
  void deferredStatementIsNotWrittenIfInputHasArrived() {
    DispatcherFixture.FakeConnection connection = fixture.serveRequest();
    fixture.loop.advanceTo(5);
    fixture.loop.stall(60);
    fixture.recorded.clear();
    fixture.receiveRequest();
    connection.hasUnreadInput = true;
    fixture.loop.advanceBy(1);
    assertEquals(1, connection.sent.size());
    fixture.expectRecorded("0 NOT_SENT after 0");
  }
}
