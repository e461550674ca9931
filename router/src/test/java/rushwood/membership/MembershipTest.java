package rushwood.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** The views of simulated members: detection, refutation, partitions, restarts and leaving. */
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
  void crashIsDetectedEverywhereWithinSuspicionTimeout() {
    SimulatedMembers cluster = new SimulatedMembers(10, 2, SETTINGS);
    cluster.runFor(5 * SECOND);
    cluster.crash(3);
    long elapsed =
        cluster.timeUntil(() -> cluster.allSee(3, MemberState.DEAD), 50 * MILLISECOND, 20 * SECOND);
    assertTrue(
        elapsed > 0 && elapsed < SETTINGS.maxSuspicionNanos() + 12 * SETTINGS.probePeriodNanos(),
        "dead everywhere after " + elapsed);
  }

  @Test
  void crashJoinAndStallTogether() {
    SimulatedMembers cluster = new SimulatedMembers(8, 3, SETTINGS);
    cluster.crash(7); // not started yet
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
  void partitionStabilizesThenHeals() {
    SimulatedMembers cluster = new SimulatedMembers(10, 4, SETTINGS);
    cluster.runFor(5 * SECOND);
    cluster.setPartitioned(4, true);
    cluster.runFor(6 * SECOND);
    assertTrue(
        cluster.allSee(0, MemberState.DEAD) || cluster.stateSeenBy(9, 0) != MemberState.ALIVE);
    assertEquals(4, cluster.members[0].size(), "view of the small side");
    assertEquals(6, cluster.members[9].size(), "view of the large side");
    cluster.setPartitioned(4, false);
    long elapsed = cluster.timeUntil(() -> cluster.deadViews() == 0, 50 * MILLISECOND, 30 * SECOND);
    assertTrue(elapsed >= 0, "healed, no member dead in anyone's view");
    long version = cluster.members[0].version();
    cluster.runFor(10 * SECOND);
    assertEquals(version, cluster.members[0].version(), "no flapping after the heal");
  }

  @Test
  void lossOfOneFifthDeclaresNobodyDead() {
    SimulatedMembers cluster = new SimulatedMembers(20, 5, SETTINGS);
    cluster.lossRate = 0.2;
    cluster.runFor(60 * SECOND);
    assertEquals(0, cluster.deadViews());
    long missed = 0;
    for (Membership node : cluster.members) {
      missed += node.counters().missedProbes();
    }
    // 20 members probe 4 times a second for a minute: 4,800 probes. One is missed when its ping or
    // ack is lost (0.36) and each of 3 relayed rounds of 4 datagrams is too (0.59 each): 0.074 of
    // the probes. Each missed probe only suspects, and refutation ends that.
    assertTrue(missed < 4_800 * 74 / 1_000, "missed probes " + missed);
  }

  @Test
  void restartSupersedesEarlierIncarnation() {
    SimulatedMembers cluster = new SimulatedMembers(5, 6, SETTINGS);
    cluster.runFor(3 * SECOND);
    MemberId restarted = cluster.ids.get(4);
    long before = cluster.members[1].incarnationOf(restarted).orElseThrow();
    PeerMessage late =
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
    assertTrue(after > before, "new incarnation " + after + " over " + before);
    byte[] encoded = DatagramCodec.encode(late);
    cluster.members[1].received(
        cluster.now, restarted, DatagramCodec.decode(encoded, encoded.length).orElseThrow());
    assertEquals(
        Optional.of(MemberState.ALIVE),
        cluster.members[1].stateOf(restarted),
        "a late message of the earlier process is ignored");
    assertEquals(
        OptionalLong.empty(),
        cluster.members[1].incarnationOf(new MemberId(0x7f000009, 1)),
        "unknown member");
  }

  @Test
  void unknownSenderIsCountedAndDropped() {
    SimulatedMembers cluster = new SimulatedMembers(3, 7, SETTINGS);
    MemberId stranger = new MemberId(0x0a000001, 9);
    List<OutgoingMessage> outgoing =
        cluster.members[0].received(
            cluster.now,
            stranger,
            new PeerMessage(
                PeerMessage.Kind.PING,
                5,
                1,
                cluster.ids.get(0),
                List.of(
                    new MembershipUpdate(
                        cluster.ids.get(1), MemberState.DEAD, Long.MAX_VALUE, stranger))));
    assertTrue(outgoing.isEmpty());
    assertEquals(1, cluster.members[0].counters().unknownSenders());
    assertEquals(MemberState.ALIVE, cluster.stateSeenBy(0, 1));
  }

  @Test
  void leavingMemberIsLeftEverywhere() {
    SimulatedMembers cluster = new SimulatedMembers(6, 8, SETTINGS);
    cluster.runFor(3 * SECOND);
    cluster.send(2, cluster.members[2].leave());
    cluster.crash(2);
    cluster.runFor(SECOND);
    assertTrue(cluster.allSee(2, MemberState.LEFT));
  }
}
