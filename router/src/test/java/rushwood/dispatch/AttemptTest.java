package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static rushwood.dispatch.DispatcherFixture.REQUEST;
import static rushwood.dispatch.FakeEventLoop.NANOS_PER_MILLI;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import rushwood.api.AttemptOutcome;

/** Tests how attempts are written and end, and what the client and the policy are notified of. */
class AttemptTest {
  @RegisterExtension final DispatcherFixture fixture = new DispatcherFixture();

  @Test
  void successIsSentToClientBeforePolicyIsNotified() {
    DispatcherFixture.FakeConnection connection = fixture.receiveRequestAndConnect();
    assertEquals(List.of("d=100"), connection.sent);
    fixture.loop.advanceTo(20);
    connection.respond(AttemptOutcome.SUCCESS);
    fixture.expectRecorded("result", "0 SUCCESS answered after 20", "released");
    fixture.loop.advanceTo(30);
    fixture.receiveRequestAndConnect();
    assertEquals(1, fixture.connections.size(), "the connection is reused");
    assertEquals(1, fixture.counters.get(Counter.CONNECTIONS_REUSED));
    connection.respond(AttemptOutcome.SUCCESS);
  }

  /** A statement that was written completely may have run; one written in part cannot have. */
  @Test
  void outcomeOfLostConnectionDependsOnWhetherStatementWasWritten() {
    fixture.onAttemptFinished = () -> fixture.actions.fail(REQUEST);
    fixture.receiveRequest();
    fixture.connections.get(0).listener.connectionLost(false);
    fixture.expectRecorded("0 CONNECT_FAILED after 0", "released", "failure");
    DispatcherFixture.FakeConnection partlyWritten = fixture.receiveRequestAndConnect();
    partlyWritten.written = false;
    partlyWritten.listener.connectionLost(true);
    fixture.expectRecorded("0 NOT_SENT after 0", "released", "failure");
    fixture.receiveRequestAndConnect().listener.connectionLost(true);
    fixture.expectRecorded("0 CONNECTION_LOST after 0", "released", "failure");
  }

  @Test
  void attemptIsNotSentIfConnectionIsNotEstablishedInTime() {
    fixture.onAttemptFinished = () -> fixture.actions.reject(REQUEST, 7 * NANOS_PER_MILLI);
    fixture.loop.setTimeNanos(0);
    fixture.receiveRequest();
    fixture.loop.advanceTo(99);
    fixture.expectRecorded();
    fixture.loop.advanceTo(100);
    fixture.expectRecorded("0 NOT_SENT after 100", "released", "rejection 7");
    fixture.loop.advanceTo(250);
    assertFalse(fixture.connections.get(0).open);
    fixture.expectRecorded();
  }

  @Test
  void timeoutClosesConnection() {
    fixture.onAttemptFinished = () -> fixture.actions.fail(REQUEST);
    DispatcherFixture.FakeConnection connection = fixture.receiveRequestAndConnect();
    fixture.loop.advanceTo(100);
    assertFalse(connection.open);
    fixture.expectRecorded("0 TIMED_OUT after 100", "released", "failure");
  }

  /** A second cancellation of an attempt and a second final response have no effect. */
  @Test
  void cancelClosesConnection() {
    DispatcherFixture.FakeConnection connection = fixture.receiveRequestAndConnect();
    fixture.actions.cancel(REQUEST, 0);
    fixture.actions.cancel(REQUEST, 0);
    assertFalse(connection.open);
    fixture.expectRecorded("0 CANCELLED after 0");
    fixture.actions.fail(REQUEST);
    fixture.actions.fail(REQUEST);
    fixture.expectRecorded("released", "failure");
  }

  @Test
  void responseAfterDisconnectIsReportedToPolicyOnly() {
    DispatcherFixture.FakeConnection connection = fixture.receiveRequestAndConnect();
    fixture.dispatcher.clientDisconnected(REQUEST);
    fixture.dispatcher.clientDisconnected(REQUEST);
    fixture.expectRecorded("disconnected x");
    fixture.loop.advanceTo(30);
    connection.respond(AttemptOutcome.SUCCESS);
    fixture.expectRecorded("0 SUCCESS answered after 30", "released");
  }

  /**
   * No statement is written after its client disconnected, whether or not hosts can cancel a
   * running statement.
   */
  @Test
  void attemptIsWithheldIfClientDisconnectsWhileConnecting() {
    fixture.receiveRequest();
    fixture.dispatcher.clientDisconnected(REQUEST);
    fixture.expectRecorded("disconnected x", "released", "0 NOT_SENT answered after 0");
    fixture.connections.get(0).listener.connected();
    assertEquals(List.of(), fixture.connections.get(0).sent);
    assertEquals(1, fixture.counters.get(Counter.ATTEMPTS_WITHHELD));
  }

  /** A retry under an idempotency key must not be written after the end of the key's window. */
  @Test
  void attemptIsWithheldIfStartWindowEndsWhileConnecting() {
    fixture.onAttemptFinished = () -> fixture.actions.fail(REQUEST);
    fixture.startWithinNanos = 40 * NANOS_PER_MILLI;
    fixture.receiveRequest();
    fixture.loop.advanceTo(50);
    fixture.connections.get(0).listener.connected();
    fixture.expectRecorded("0 NOT_SENT after 50", "released", "failure");
    assertEquals(List.of(), fixture.connections.get(0).sent);
    fixture.loop.advanceTo(60);
    fixture.receiveRequest();
    assertEquals(1, fixture.connections.size(), "the next request reuses the connection");
    assertEquals(List.of("d=100"), fixture.connections.get(0).sent);
    fixture.connections.get(0).respond(AttemptOutcome.SUCCESS);
  }
}
