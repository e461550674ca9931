package rushwood.testbed.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import rushwood.testbed.model.HostModel.OfferStatus;

class HostModelTest {
  private static final long SECOND = 1_000_000_000L;
  private static final int SLOTS = 2;
  private static final int QUEUE = 1;
  private static final long LAG = SECOND;
  private static final long WARMUP = 10 * SECOND;
  private static final HostModel.Parameters PARAMETERS =
      new HostModel.Parameters(10, SLOTS, QUEUE, 0.2, WARMUP, 4, SECOND, LAG);

  private final HostModel primary = new HostModel(PARAMETERS, true, 1);
  private final HostModel replica = new HostModel(PARAMETERS, false, 2);

  private static OfferStatus offer(HostModel host, long now, RequestKind kind) {
    return host.offer(now, kind).status();
  }

  @Test
  void requestsBeyondSlotsAndQueueAreRefusedUntilOneCompletes() {
    long firstCompletion = Long.MAX_VALUE;
    for (int i = 0; i < SLOTS + QUEUE; i++) {
      HostModel.OfferResult result = primary.offer(0, RequestKind.WRITE);
      assertEquals(OfferStatus.ACCEPTED, result.status());
      firstCompletion = Math.min(firstCompletion, result.completesAt());
    }
    assertEquals(SLOTS + QUEUE, primary.activeRequests(0));
    assertEquals(OfferStatus.OVERLOADED, offer(primary, firstCompletion - 1, RequestKind.WRITE));
    assertEquals(OfferStatus.ACCEPTED, offer(primary, firstCompletion, RequestKind.WRITE));
  }

  @Test
  void replicaAcceptsOnlyReadsThatTolerateItsLag() {
    assertEquals(OfferStatus.NOT_PRIMARY, offer(replica, 0, RequestKind.WRITE));
    assertEquals(OfferStatus.REPLICA_LAGGING, offer(replica, 0, RequestKind.BOUNDED_READ));
    assertEquals(OfferStatus.ACCEPTED, offer(replica, 0, RequestKind.EVENTUAL_READ));
    assertEquals(5 * SECOND - LAG, replica.position(5 * SECOND));
    replica.setPrimary(true);
    assertEquals(OfferStatus.ACCEPTED, offer(replica, 0, RequestKind.WRITE));
    assertEquals(5 * SECOND, replica.position(5 * SECOND));
  }

  @Test
  void crashedOrHungHostDoesNotRespond() {
    primary.setHung(true);
    assertEquals(OfferStatus.NO_RESPONSE, offer(primary, 0, RequestKind.WRITE));
    primary.setHung(false);
    assertEquals(OfferStatus.ACCEPTED, offer(primary, 0, RequestKind.WRITE));
    int incarnation = primary.incarnation();
    primary.crash();
    assertFalse(primary.isUp());
    assertEquals(OfferStatus.NO_RESPONSE, offer(primary, 0, RequestKind.WRITE));
    primary.restart(SECOND);
    assertTrue(primary.incarnation() > incarnation);
    assertEquals(0, primary.activeRequests(SECOND));
  }

  @Test
  void restartedHostWarmsUpLinearly() {
    assertEquals(1, primary.relativeSpeed(0), "a new host is warm");
    primary.restart(SECOND);
    assertEquals(0.2, primary.relativeSpeed(SECOND), 1e-9);
    assertEquals(0.6, primary.relativeSpeed(SECOND + WARMUP / 2), 1e-9);
    assertEquals(1, primary.relativeSpeed(SECOND + WARMUP), 1e-9);
    assertEquals(1, primary.relativeSpeed(SECOND + 2 * WARMUP), 1e-9);
  }

  /**
   * Right after a restart the host withstands 10 x 0.2 x 4 = 8 requests within its window of one
   * second; the ninth overloads it.
   */
  @Test
  void coldHostCrashesOnOverloadIfSetTo() {
    for (boolean crashOnOverload : new boolean[] {false, true}) {
      HostModel host = new HostModel(PARAMETERS, true, 3);
      host.setCrashOnOverload(crashOnOverload);
      host.restart(0);
      for (int i = 0; i < 8; i++) {
        host.offer(0, RequestKind.WRITE);
      }
      assertEquals(1, host.worstColdOverload(), 1e-9);
      assertTrue(host.isUp());
      host.offer(0, RequestKind.WRITE);
      assertEquals(9.0 / 8, host.worstColdOverload(), 1e-9);
      assertEquals(crashOnOverload ? 1 : 0, host.overloadCrashes());
      assertEquals(!crashOnOverload, host.isUp());
    }
  }
}
