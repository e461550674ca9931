package rushwood.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rushwood.overload.EvictionDecision.Action;

class ConnectionAdmissionTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long RETRY_AFTER_NANOS = 500 * NANOS_PER_MILLI;

  private final ConnectionAdmission admission = new ConnectionAdmission(3, RETRY_AFTER_NANOS);

  private AdmittedConnection admit(String owner, long atMillis) {
    return admission.admit(owner, atMillis * NANOS_PER_MILLI);
  }

  private void setState(AdmittedConnection connection, ConnectionState state, long atMillis) {
    admission.setState(connection, state, atMillis * NANOS_PER_MILLI);
  }

  private static void assertDecision(
      Action action, AdmittedConnection connection, EvictionDecision decision) {
    assertEquals(action, decision.action());
    assertSame(connection, decision.connection());
  }

  private void assertDecisionOverLimit(
      Action action, AdmittedConnection connection, long atMillis) {
    assertDecision(action, connection, admission.decideOverLimit(atMillis * NANOS_PER_MILLI));
  }

  private static void assertNoConnectionChosen(EvictionDecision decision, String message) {
    assertEquals(Action.NONE, decision.action(), message);
    assertThrows(IllegalStateException.class, decision::connection);
  }

  /** A client that was sent a Retry-After keeps its connection until that time has passed. */
  @Test
  void connectionAwaitingRetryIsKeptUntilRetryTimeHasPassed() {
    AdmittedConnection awaitingRetry = admit("awaitingRetry", 0);
    setState(awaitingRetry, ConnectionState.AWAITING_RETRY, 0);
    AdmittedConnection busy = admit("busy", 0);
    setState(busy, ConnectionState.BUSY, 0);
    AdmittedConnection idle = admit("idle", 0);
    setState(idle, ConnectionState.IDLE, 200);
    AdmittedConnection newest = admit("newest", 210);
    assertTrue(admission.isOverLimit());
    assertDecisionOverLimit(Action.REFUSE_NEWEST, newest, 210); // idle, but not for long enough
    assertDecisionOverLimit(Action.CLOSE_IDLE, idle, 300);
    admission.remove(idle);
    // The other connections are awaiting a retry, busy or new.
    assertDecisionOverLimit(Action.REFUSE_NEWEST, newest, 350);
    admission.remove(newest);
    assertNoConnectionChosen(
        admission.decideOverLimit(749 * NANOS_PER_MILLI), "the client may still return");
    // The client has not returned within the tolerance after its Retry-After time.
    assertDecisionOverLimit(Action.CLOSE_IDLE, awaitingRetry, 750);
  }

  /** Clients send their first request at once, so a connection without one is closed first. */
  @Test
  void connectionsWithoutRequestAreClosedBeforeIdleOnes() {
    AdmittedConnection idle = admit("idle", 0);
    setState(idle, ConnectionState.IDLE, 0);
    AdmittedConnection withoutRequest = admit("withoutRequest", 0);
    admit("later", 120);
    admit("newest", 149);
    assertDecisionOverLimit(Action.CLOSE_IDLE, idle, 149);
    assertDecisionOverLimit(Action.CLOSE_UNUSED, withoutRequest, 150);
    setState(withoutRequest, ConnectionState.BUSY, 150); // its first request arrived after all
    assertDecisionOverLimit(Action.CLOSE_IDLE, idle, 150);
  }

  @Test
  void newestIsRefusedWhenAllAreBusy() {
    for (String owner : List.of("a", "b", "c")) {
      setState(admit(owner, 0), ConnectionState.BUSY, 0);
    }
    AdmittedConnection newest = admit("newest", 1);
    assertDecisionOverLimit(Action.REFUSE_NEWEST, newest, 1);
    setState(newest, ConnectionState.BUSY, 1);
    assertNoConnectionChosen(admission.decideOverLimit(1 * NANOS_PER_MILLI), "all are busy");
  }

  /** If most clients send only one request, idle connections are closed even below the limit. */
  @Test
  void idleConnectionsAreClosedIfReuseIsRare() {
    ConnectionAdmission largeAdmission = new ConnectionAdmission(100, RETRY_AFTER_NANOS);
    List<AdmittedConnection> idle = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      idle.add(largeAdmission.admit(i, 0));
      largeAdmission.setState(idle.get(i), ConnectionState.IDLE, 0);
      largeAdmission.recordRequest(true);
    }
    assertNoConnectionChosen(
        largeAdmission.decideBelowLimit(1000 * NANOS_PER_MILLI), "connections are reused");
    for (int i = 0; i < 40; i++) {
      largeAdmission.recordRequest(false);
    }
    assertNoConnectionChosen(
        largeAdmission.decideBelowLimit(99 * NANOS_PER_MILLI), "not idle for long enough");
    for (int i = 0; i < 28; i++) {
      assertDecision(
          Action.CLOSE_IDLE, idle.get(i), largeAdmission.decideBelowLimit(100 * NANOS_PER_MILLI));
      largeAdmission.remove(idle.get(i));
    }
    assertNoConnectionChosen(
        largeAdmission.decideBelowLimit(1000 * NANOS_PER_MILLI),
        "an eighth of the limit may stay idle");
    largeAdmission.startShutdown();
    assertNoConnectionChosen(
        largeAdmission.decideBelowLimit(1000 * NANOS_PER_MILLI), "the router shuts down");
  }

  /** Idle connections are kept during shutdown, because their clients could not reconnect. */
  @Test
  void onlyConnectionsWithoutRequestAreClosedDuringShutdown() {
    AdmittedConnection idle = admit("idle", 0);
    setState(idle, ConnectionState.IDLE, 0);
    AdmittedConnection withoutRequest = admit("withoutRequest", 0);
    setState(admit("busy", 0), ConnectionState.BUSY, 0);
    AdmittedConnection newest = admit("newest", 1000);
    admission.startShutdown();
    assertDecisionOverLimit(Action.CLOSE_UNUSED, withoutRequest, 1000);
    admission.remove(withoutRequest);
    assertDecisionOverLimit(Action.REFUSE_NEWEST, newest, 1000);
  }

  /** Every connection is in the list of exactly one state, whatever the order of calls. */
  @Test
  void randomOperationsKeepListsConsistent() {
    SplittableRandom random = new SplittableRandom(5);
    List<AdmittedConnection> admitted = new ArrayList<>();
    ConnectionAdmission largeAdmission = new ConnectionAdmission(50, RETRY_AFTER_NANOS);
    for (long atMillis = 0; atMillis < 20_000; atMillis++) {
      int operation = random.nextInt(4);
      if (operation == 0) {
        admitted.add(largeAdmission.admit(atMillis, atMillis * NANOS_PER_MILLI));
      } else if (!admitted.isEmpty() && operation == 1) {
        largeAdmission.remove(admitted.remove(random.nextInt(admitted.size())));
      } else if (!admitted.isEmpty()) {
        largeAdmission.setState(
            admitted.get(random.nextInt(admitted.size())),
            ConnectionState.values()[random.nextInt(4)],
            atMillis * NANOS_PER_MILLI);
      }
      closeWhileOverLimit(largeAdmission, admitted, atMillis);
      assertEquals(admitted.size(), largeAdmission.openConnections());
      int sum = 0;
      for (ConnectionState state : ConnectionState.values()) {
        sum += largeAdmission.openConnections(state);
      }
      assertEquals(admitted.size(), sum);
    }
  }

  private static void closeWhileOverLimit(
      ConnectionAdmission admission, List<AdmittedConnection> admitted, long atMillis) {
    while (admission.isOverLimit()) {
      EvictionDecision decision = admission.decideOverLimit(atMillis * NANOS_PER_MILLI);
      if (!decision.action().isClose()) {
        return;
      }
      AdmittedConnection closed = decision.connection();
      assertTrue(closed.state() != ConnectionState.BUSY && admitted.remove(closed));
      admission.remove(closed);
      admission.remove(closed); // a second removal has no effect
    }
  }
}
