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

  private AdmittedConnection admit(String owner, long at) {
    return admission.admit(owner, at * NANOS_PER_MILLI);
  }

  private void setState(AdmittedConnection connection, ConnectionState state, long at) {
    admission.setState(connection, state, at * NANOS_PER_MILLI);
  }

  private static void assertEnds(
      Action action, AdmittedConnection connection, EvictionDecision decision) {
    assertEquals(action, decision.action());
    assertSame(connection, decision.connection());
  }

  private void assertEndsOverLimit(Action action, AdmittedConnection connection, long at) {
    assertEnds(action, connection, admission.decideOverLimit(at * NANOS_PER_MILLI));
  }

  private static void assertNoneEnds(EvictionDecision decision, String message) {
    assertEquals(Action.NONE, decision.action(), message);
    assertThrows(IllegalStateException.class, decision::connection);
  }

  /** A client that was told when to retry keeps its connection until that time has passed. */
  @Test
  void connectionsAwaitingRetryStayUntilTheirTimeIsOver() {
    AdmittedConnection awaitingRetry = admit("awaitingRetry", 0);
    setState(awaitingRetry, ConnectionState.AWAITING_RETRY, 0);
    AdmittedConnection busy = admit("busy", 0);
    setState(busy, ConnectionState.BUSY, 0);
    AdmittedConnection idle = admit("idle", 0);
    setState(idle, ConnectionState.IDLE, 200);
    AdmittedConnection newest = admit("newest", 210);
    assertTrue(admission.isOverLimit());
    assertEndsOverLimit(Action.REFUSE_NEWEST, newest, 210); // idle, but not for long enough
    assertEndsOverLimit(Action.CLOSE_IDLE, idle, 300);
    admission.remove(idle);
    // The others await a retry, are busy or new.
    assertEndsOverLimit(Action.REFUSE_NEWEST, newest, 350);
    admission.remove(newest);
    assertNoneEnds(admission.decideOverLimit(749 * NANOS_PER_MILLI), "may still return");
    // Did not return at its time nor soon after.
    assertEndsOverLimit(Action.CLOSE_IDLE, awaitingRetry, 750);
  }

  /** First requests follow the connect at once, so a connection without one is closed first. */
  @Test
  void connectionsWithoutRequestAreClosedBeforeIdleOnes() {
    AdmittedConnection idle = admit("idle", 0);
    setState(idle, ConnectionState.IDLE, 0);
    AdmittedConnection withoutRequest = admit("withoutRequest", 0);
    admit("later", 120);
    admit("newest", 149);
    assertEndsOverLimit(Action.CLOSE_IDLE, idle, 149);
    assertEndsOverLimit(Action.CLOSE_UNUSED, withoutRequest, 150);
    setState(withoutRequest, ConnectionState.BUSY, 150); // its first request arrived after all
    assertEndsOverLimit(Action.CLOSE_IDLE, idle, 150);
  }

  @Test
  void newestIsRefusedWhenAllAreBusy() {
    for (String owner : List.of("a", "b", "c")) {
      setState(admit(owner, 0), ConnectionState.BUSY, 0);
    }
    AdmittedConnection newest = admit("newest", 1);
    assertEndsOverLimit(Action.REFUSE_NEWEST, newest, 1);
    setState(newest, ConnectionState.BUSY, 1);
    assertNoneEnds(admission.decideOverLimit(1 * NANOS_PER_MILLI), "all are busy");
  }

  /** Clients that send one request and stay idle lose the connection even below the limit. */
  @Test
  void idleConnectionsAreClosedWhereReuseIsRare() {
    ConnectionAdmission large = new ConnectionAdmission(100, RETRY_AFTER_NANOS);
    List<AdmittedConnection> idle = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      idle.add(large.admit(i, 0));
      large.setState(idle.get(i), ConnectionState.IDLE, 0);
      large.recordRequest(true);
    }
    assertNoneEnds(large.decideBelowLimit(1000 * NANOS_PER_MILLI), "connections are reused");
    for (int i = 0; i < 40; i++) {
      large.recordRequest(false);
    }
    assertNoneEnds(large.decideBelowLimit(99 * NANOS_PER_MILLI), "not idle for long enough");
    for (int i = 0; i < 28; i++) {
      assertEnds(Action.CLOSE_IDLE, idle.get(i), large.decideBelowLimit(100 * NANOS_PER_MILLI));
      large.remove(idle.get(i));
    }
    assertNoneEnds(large.decideBelowLimit(1000 * NANOS_PER_MILLI), "so few may stay idle");
    large.startShutdown();
    assertNoneEnds(large.decideBelowLimit(1000 * NANOS_PER_MILLI), "the router shuts down");
  }

  /** A client that loses its connection during shutdown cannot reconnect: idle ones are kept. */
  @Test
  void onlyConnectionsWithoutRequestAreClosedDuringShutdown() {
    AdmittedConnection idle = admit("idle", 0);
    setState(idle, ConnectionState.IDLE, 0);
    AdmittedConnection withoutRequest = admit("withoutRequest", 0);
    setState(admit("busy", 0), ConnectionState.BUSY, 0);
    AdmittedConnection newest = admit("newest", 1000);
    admission.startShutdown();
    assertEndsOverLimit(Action.CLOSE_UNUSED, withoutRequest, 1000);
    admission.remove(withoutRequest);
    assertEndsOverLimit(Action.REFUSE_NEWEST, newest, 1000);
  }

  /** Every connection is in exactly one list, whatever the order of calls. */
  @Test
  void randomOperationsKeepListsConsistent() {
    SplittableRandom random = new SplittableRandom(5);
    List<AdmittedConnection> admitted = new ArrayList<>();
    ConnectionAdmission large = new ConnectionAdmission(50, RETRY_AFTER_NANOS);
    for (long at = 0; at < 20_000; at++) {
      int operation = random.nextInt(4);
      if (operation == 0) {
        admitted.add(large.admit(at, at * NANOS_PER_MILLI));
      } else if (!admitted.isEmpty() && operation == 1) {
        large.remove(admitted.remove(random.nextInt(admitted.size())));
      } else if (!admitted.isEmpty()) {
        large.setState(
            admitted.get(random.nextInt(admitted.size())),
            ConnectionState.values()[random.nextInt(4)],
            at * NANOS_PER_MILLI);
      }
      closeWhileOverLimit(large, admitted, at);
      assertEquals(admitted.size(), large.openConnections());
      int sum = 0;
      for (ConnectionState state : ConnectionState.values()) {
        sum += large.openConnections(state);
      }
      assertEquals(admitted.size(), sum);
    }
  }

  private static void closeWhileOverLimit(
      ConnectionAdmission admission, List<AdmittedConnection> admitted, long at) {
    while (admission.isOverLimit()) {
      EvictionDecision decision = admission.decideOverLimit(at * NANOS_PER_MILLI);
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
