package rushwood.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Tests crash detection, refutation, partitions, restarts and leaving with simulated members. */
class MembershipTest {
  private static final long MILLISECOND = SimulatedMembers.MILLISECOND;
  private static final long SECOND = SimulatedMembers.SECOND;
  private static final MembershipSettings SETTINGS = MembershipSettings.defaults();

  @Test
  void healthyClusterSuspectsNobody() {
    SimulatedMembers cluster = new SimulatedMembers(10, 1, SETTINGS);
    cluster.runFor(20 * SECOND);
    for (int i = 0; i < 10; i++) {
      assertEquals(10, cluster.members[i].size());
      assertEquals(0, cluster.members[i].counters().suspected(), "member " + i);
    }
    assertTrue(cluster.members[0].isStable(cluster.now));
  }

  @Test
  void crashIsDetectedByAllWithinSuspicionTimeout() {
    SimulatedMembers cluster = new SimulatedMembers(10, 2, SETTINGS);
    cluster.runFor(5 * SECOND);
    cluster.crash(3);
    long elapsed =
        cluster.timeUntil(() -> cluster.allSee(3, MemberState.DEAD), 50 * MILLISECOND, 20 * SECOND);
    assertTrue(
        elapsed > 0 && elapsed < SETTINGS.maxSuspicionNanos() + 12 * SETTINGS.probePeriodNanos(),
        "considered dead by all after " + elapsed + " ns");
  }

  @Test
  void simultaneousCrashJoinAndStallAreDetected() {
    SimulatedMembers cluster = new SimulatedMembers(8, 3, SETTINGS);
    cluster.crash(7); // down until started below
    cluster.runFor(6 * SECOND);
    cluster.crash(2);
    cluster.stall(5, 3 * SECOND);
    cluster.start(7);
    cluster.runFor(15 * SECOND);
    assertTrue(cluster.allSee(2, MemberState.DEAD), "crashed");
    assertTrue(cluster.allSee(5, MemberState.ALIVE), "stalled, then refuted");
    assertTrue(cluster.allSee(7, MemberState.ALIVE), "started late");
    assertTrue(cluster.members[5].counters().refutations() > 0);
  }

  @Test
  void viewsStabilizeDuringPartitionAndAfterHeal() {
    SimulatedMembers cluster = new SimulatedMembers(10, 4, SETTINGS);
    cluster.runFor(5 * SECOND);
    cluster.setPartitioned(4, true);
    cluster.runFor(6 * SECOND);
    assertTrue(
        cluster.allSee(0, MemberState.DEAD) || cluster.stateSeenBy(9, 0) != MemberState.ALIVE);
    assertEquals(4, cluster.members[0].size(), "view of the smaller side");
    assertEquals(6, cluster.members[9].size(), "view of the larger side");
    cluster.setPartitioned(4, false);
    long elapsed = cluster.timeUntil(() -> cluster.deadViews() == 0, 50 * MILLISECOND, 30 * SECOND);
    assertTrue(elapsed >= 0, "after the heal no member is considered dead");
    long version = cluster.members[0].version();
    cluster.runFor(10 * SECOND);
    assertEquals(version, cluster.members[0].version(), "no state change after the heal");
  }

  @Test
  void datagramLossOf20PercentDeclaresNobodyDead() {
    SimulatedMembers cluster = new SimulatedMembers(20, 5, SETTINGS);
    cluster.lossRate = 0.2;
    cluster.runFor(60 * SECOND);
    assertEquals(0, cluster.deadViews());
    long missed = 0;
    for (Membership member : cluster.members) {
      missed += member.counters().missedProbes();
    }
    // 20 members send 4 probes per second for 60 s: 4,800 probes. A probe is missed if its ping or
    // ack is lost (probability 0.36) and each of the 3 indirect probes loses at least one of its 4
    // datagrams (0.59 each): 0.074 of the probes. A missed probe only raises a suspicion, which the
    // member refutes.
    assertTrue(missed < 4_800 * 74 / 1_000, "missed probes " + missed);
  }

  @Test
  void restartOverridesEarlierIncarnation() {
    SimulatedMembers cluster = new SimulatedMembers(5, 6, SETTINGS);
    cluster.runFor(3 * SECOND);
    MemberId restarted = cluster.ids.get(4);
    long before = cluster.members[1].incarnationOf(restarted).orElseThrow();
    PeerMessage staleMessage =
        new PeerMessage(
            PeerMessage.Kind.PING,
            before,
            1,
            cluster.ids.get(1),
            List.of(new MembershipUpdate(restarted, MemberState.LEFT, before, restarted)));
    cluster.crash(4);
    cluster.runFor(2 * SECOND);
    cluster.start(4);
    cluster.runFor(2 * SECOND);
    long after = cluster.members[1].incarnationOf(restarted).orElseThrow();
    assertTrue(
        after > before, "incarnation " + after + " after the restart, " + before + " before");
    byte[] encoded = DatagramCodec.encode(staleMessage);
    cluster.members[1].handleMessage(
        cluster.now, restarted, DatagramCodec.decode(encoded, encoded.length).orElseThrow());
    assertEquals(
        Optional.of(MemberState.ALIVE),
        cluster.members[1].stateOf(restarted),
        "a stale message of the earlier process is ignored");
    assertEquals(
        OptionalLong.empty(),
        cluster.members[1].incarnationOf(new MemberId(0x7f000009, 1)),
        "unknown member");
  }

  @Test
  void messageOfUnknownSenderIsDroppedAndCounted() {
    SimulatedMembers cluster = new SimulatedMembers(3, 7, SETTINGS);
    MemberId unknownSender = new MemberId(0x0a000001, 9);
    List<OutgoingMessage> outgoing =
        cluster.members[0].handleMessage(
            cluster.now,
            unknownSender,
            new PeerMessage(
                PeerMessage.Kind.PING,
                5,
                1,
                cluster.ids.get(0),
                List.of(
                    new MembershipUpdate(
                        cluster.ids.get(1), MemberState.DEAD, Long.MAX_VALUE, unknownSender))));
    assertTrue(outgoing.isEmpty());
    assertEquals(1, cluster.members[0].counters().droppedMessages());
    assertEquals(MemberState.ALIVE, cluster.stateSeenBy(0, 1));
  }

  @Test
  void leavingMemberIsSeenAsLeftByAll() {
    SimulatedMembers cluster = new SimulatedMembers(6, 8, SETTINGS);
    cluster.runFor(3 * SECOND);
    cluster.send(2, cluster.members[2].leave());
    cluster.crash(2);
    cluster.runFor(SECOND);
    assertTrue(cluster.allSee(2, MemberState.LEFT));
  }
}
