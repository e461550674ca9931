package rushwood.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ReplicationStateTest {
  private final ReplicationState replication = new ReplicationState();

  @Test
  void positionNeverGoesBackButReportTimeAdvances() {
    replication.recordPosition(50, 60);
    replication.recordPosition(40, 70);
    assertEquals(50, replication.position());
    assertEquals(70, replication.positionReportedAt());
  }

  @Test
  void positionInTheFutureIsIgnored() {
    replication.recordPosition(50, 60);
    replication.recordPosition(71, 70);
    assertEquals(50, replication.position());
    assertEquals(60, replication.positionReportedAt());
  }

  @Test
  void roleIsKnownFromLatestEvidence() {
    assertFalse(replication.isRoleKnown());
    replication.recordRoleEvidence(50);
    replication.recordRoleEvidence(40);
    assertTrue(replication.isRoleKnown());
    assertEquals(50, replication.roleKnownAt());
  }
}
