package rushwood.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rushwood.overload.ConnectionAdmission.AdmittedConnection;
import rushwood.overload.ConnectionAdmission.ConnectionState;

class ConnectionAdmissionTest {
  private static final long MS = 1_000_000L;
  private static final long WAIT = 500 * MS;

  private final ConnectionAdmission admission = new ConnectionAdmission(3, WAIT);

  private AdmittedConnection admit(String who, long at) {
    return admission.admit(who, at * MS);
  }

  private void setState(AdmittedConnection place, ConnectionState standing, long at) {
    admission.setState(place, standing, at * MS);
  }

  private AdmittedConnection connectionToClose(long at) {
    return admission.connectionToClose(at * MS);
  }

  /**
   * A connection that was told when to return is never closed for one that comes before that time
   * is over.
   */
  @Test
  void connectionsAwaitingRetryStayUntilTheirTimeIsOver() {
    AdmittedConnection booked = admit("booked", 0);
    setState(booked, ConnectionState.AWAITING_RETRY, 0);
    AdmittedConnection busy = admit("busy", 0);
    setState(busy, ConnectionState.BUSY, 0);
    AdmittedConnection rests = admit("rests", 0);
    setState(rests, ConnectionState.IDLE, 200);
    admit("comes", 210);
    assertTrue(admission.isOverLimit());
    assertNull(connectionToClose(210), "it has not rested long");
    assertSame(rests, connectionToClose(300));
    admission.remove(rests);
    assertNull(connectionToClose(350), "what remains is booked, busy or has just come");
    admission.remove(admission.newestWithoutRequest());
    assertSame(booked, connectionToClose(750), "it did not come at its time, nor soon after");
  }

  /**
   * First statements come at once: who has said nothing for a while is silent, and goes before
   * those that rest.
   */
  @Test
  void connectionsWithoutRequestAreClosedBeforeIdleOnes() {
    AdmittedConnection rests = admit("rests", 0);
    setState(rests, ConnectionState.IDLE, 0);
    AdmittedConnection silent = admit("silent", 0);
    admit("late", 120);
    admit("comes", 149);
    assertSame(rests, connectionToClose(149));
    assertSame(silent, connectionToClose(150));
    setState(silent, ConnectionState.BUSY, 150); // its statement came after all
    assertSame(rests, connectionToClose(150));
  }

  @Test
  void newestIsRefusedWhenAllAreBusy() {
    for (String who : List.of("a", "b", "c")) {
      setState(admit(who, 0), ConnectionState.BUSY, 0);
    }
    AdmittedConnection comes = admit("comes", 1);
    assertNull(connectionToClose(1));
    assertSame(comes, admission.newestWithoutRequest());
  }

  /**
   * Clients that ask once and stay: those that rest go though there is room; where they come back,
   * none goes.
   */
  @Test
  void idleConnectionsAreClosedWhereReuseIsRare() {
    ConnectionAdmission large = new ConnectionAdmission(100, WAIT);
    List<AdmittedConnection> resting = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      resting.add(large.admit(i, 0));
      large.setState(resting.get(i), ConnectionState.IDLE, 0);
      large.recordRequest(true);
    }
    assertNull(large.idleToClose(1000 * MS), "they come back");
    for (int i = 0; i < 40; i++) {
      large.recordRequest(false);
    }
    assertNull(large.idleToClose(99 * MS), "not long");
    for (int i = 0; i < 28; i++) {
      assertSame(resting.get(i), large.idleToClose(100 * MS));
      large.remove(resting.get(i));
    }
    assertNull(large.idleToClose(1000 * MS), "so few may rest");
    large.startShutdown();
    assertNull(large.idleToClose(1000 * MS));
  }

  /**
   * At the end nobody can come back here: those that are served stay, the silent go for those that
   * come.
   */
  @Test
  void onlyConnectionsWithoutRequestAreClosedDuringShutdown() {
    AdmittedConnection rests = admit("rests", 0);
    setState(rests, ConnectionState.IDLE, 0);
    AdmittedConnection silent = admit("silent", 0);
    setState(admit("busy", 0), ConnectionState.BUSY, 0);
    admit("comes", 1000);
    admission.startShutdown();
    assertSame(silent, connectionToClose(1000));
    admission.remove(silent);
    assertNull(connectionToClose(1000));
  }

  /** Whatever happens, the lists hold each place once and their lengths add up. */
  @Test
  void randomOperationsKeepListsConsistent() {
    SplittableRandom chance = new SplittableRandom(5);
    List<AdmittedConnection> in = new ArrayList<>();
    ConnectionAdmission large = new ConnectionAdmission(50, WAIT);
    for (long at = 0; at < 20_000; at++) {
      int what = chance.nextInt(4);
      if (what == 0) {
        in.add(large.admit(at, at * MS));
      } else if (!in.isEmpty() && what == 1) {
        large.remove(in.remove(chance.nextInt(in.size())));
      } else if (!in.isEmpty()) {
        large.setState(
            in.get(chance.nextInt(in.size())),
            ConnectionState.values()[chance.nextInt(4)],
            at * MS);
      }
      for (AdmittedConnection goes = large.isOverLimit() ? large.connectionToClose(at * MS) : null;
          goes != null;
          goes = large.isOverLimit() ? large.connectionToClose(at * MS) : null) {
        assertTrue(goes.state() != ConnectionState.BUSY && in.remove(goes));
        large.remove(goes);
        large.remove(goes); // twice is once
      }
      assertEquals(in.size(), large.openConnections());
      int sum = 0;
      for (ConnectionState each : ConnectionState.values()) {
        sum += large.openConnections(each);
      }
      assertEquals(in.size(), sum);
    }
  }

  @Test
  void descriptorBudgetFollowsBackendPeak() {
    DescriptorBudget sockets = new DescriptorBudget(100);
    assertEquals(87, sockets.maxClients(0));
    assertEquals(40, sockets.maxBackends());
    sockets.setOpenClients(85);
    assertEquals(15, sockets.maxBackends());
    sockets.setOpenBackends(15, 1000 * MS);
    assertEquals(81, sockets.maxClients(1000 * MS), "a quarter above the peak is kept");
    sockets.setOpenBackends(2, 2000 * MS);
    assertEquals(82, sockets.maxClients(2000 * MS));
    assertEquals(87, sockets.maxClients(60_000 * MS));
    sockets.setOpenBackends(60, 61_000 * MS);
    assertEquals(60, sockets.maxClients(61_000 * MS), "three parts of five are theirs");
    assertEquals(15, sockets.maxBackends());
  }
}
