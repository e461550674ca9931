package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static rushwood.dispatch.FakeEventLoop.NANOS_PER_MILLI;

import java.util.List;
import org.junit.jupiter.api.Test;
import rushwood.api.AttemptOutcome;

/** How attempts are written and end, and what the client and the policy are told. */
class AttemptTest extends DispatcherFixture {
  @Test
  void successIsSentToTheClientBeforeThePolicyIsTold() {
    FakeConnection connection = receiveRequestAndConnect();
    assertEquals(List.of("d=100"), connection.sent);
    loop.advanceTo(20);
    connection.respond(AttemptOutcome.SUCCESS);
    expectRecorded("result", "0 SUCCESS answered after 20", "released");
    loop.advanceTo(30);
    receiveRequestAndConnect();
    assertEquals(1, connections.size(), "the connection is used again");
    assertEquals(1, counters.get(Counter.CONNECTIONS_REUSED));
    connection.respond(AttemptOutcome.SUCCESS);
  }

  /** Only a statement that was never written whole is sure not to have run. */
  @Test
  void lostConnectionTellsWhetherTheStatementWasWritten() {
    onAttemptFinished = () -> actions.fail(REQUEST);
    receiveRequest();
    connections.get(0).listener.connectionLost(false);
    expectRecorded("0 CONNECT_FAILED after 0", "released", "failure");
    FakeConnection halfWritten = receiveRequestAndConnect();
    halfWritten.written = false;
    halfWritten.listener.connectionLost(true);
    expectRecorded("0 NOT_SENT after 0", "released", "failure");
    receiveRequestAndConnect().listener.connectionLost(true);
    expectRecorded("0 CONNECTION_LOST after 0", "released", "failure");
  }

  @Test
  void attemptIsNotSentIfItsConnectionDoesNotComeUp() {
    onAttemptFinished = () -> actions.reject(REQUEST, 7 * NANOS_PER_MILLI);
    loop.setTimeNanos(0);
    receiveRequest();
    loop.advanceTo(99);
    expectRecorded();
    loop.advanceTo(100);
    expectRecorded("0 NOT_SENT after 100", "released", "rejection 7");
    loop.advanceTo(250);
    assertFalse(connections.get(0).open);
    expectRecorded();
  }

  @Test
  void timeoutClosesTheConnection() {
    onAttemptFinished = () -> actions.fail(REQUEST);
    FakeConnection connection = receiveRequestAndConnect();
    loop.advanceTo(100);
    assertFalse(connection.open);
    expectRecorded("0 TIMED_OUT after 100", "released", "failure");
  }

  /** Cancelling an attempt twice, and a second final response, change nothing. */
  @Test
  void cancelClosesTheConnection() {
    FakeConnection connection = receiveRequestAndConnect();
    actions.cancel(REQUEST, 0);
    actions.cancel(REQUEST, 0);
    assertFalse(connection.open);
    expectRecorded("0 CANCELLED after 0");
    actions.fail(REQUEST);
    actions.fail(REQUEST);
    expectRecorded("released", "failure");
  }

  @Test
  void responseAfterDisconnectReachesThePolicyOnly() {
    FakeConnection connection = receiveRequestAndConnect();
    dispatcher.clientDisconnected(REQUEST);
    dispatcher.clientDisconnected(REQUEST);
    expectRecorded("disconnected x");
    loop.advanceTo(30);
    connection.respond(AttemptOutcome.SUCCESS);
    expectRecorded("0 SUCCESS answered after 30", "released");
  }

  /** Nothing is written after a disconnect, whether or not hosts can be told to stop. */
  @Test
  void attemptIsWithheldIfTheClientDisconnectsWhileItsConnectionComesUp() {
    receiveRequest();
    dispatcher.clientDisconnected(REQUEST);
    expectRecorded("disconnected x", "released", "0 NOT_SENT answered after 0");
    connections.get(0).listener.connected();
    assertEquals(List.of(), connections.get(0).sent);
    assertEquals(1, counters.get(Counter.ATTEMPTS_WITHHELD));
  }

  /** A retry under an idempotency key may be written within the key's window only. */
  @Test
  void attemptIsWithheldIfItsStartWindowEndsWhileItsConnectionComesUp() {
    onAttemptFinished = () -> actions.fail(REQUEST);
    startWithinNanos = 40 * NANOS_PER_MILLI;
    receiveRequest();
    loop.advanceTo(50);
    connections.get(0).listener.connected();
    expectRecorded("0 NOT_SENT after 50", "released", "failure");
    assertEquals(List.of(), connections.get(0).sent);
    loop.advanceTo(60);
    receiveRequest();
    assertEquals(1, connections.size(), "the next request uses the connection");
    assertEquals(List.of("d=100"), connections.get(0).sent);
    connections.get(0).respond(AttemptOutcome.SUCCESS);
  }
}
