package rushwood.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Chooses the members to probe, and the members that are asked to relay a probe. */
final class ProbeTargets {
  /** Every fourth probe goes to a recently dead member, if there is one. */
  private static final int REVIVAL_PROBE_INTERVAL = 4;

  private final MemberTable members;
  private final long deadRetentionNanos;
  private final MembershipCounters counters;
  private final SplittableRandom random;
  private final List<MemberId> probeOrder = new ArrayList<>();
  private int nextIndex;
  private int callCount;

  /**
   * Creates a selector of probe targets.
   *
   * @param deadRetentionNanos time during which a dead member is still probed occasionally
   */
  ProbeTargets(
      MemberTable members,
      long deadRetentionNanos,
      MembershipCounters counters,
      SplittableRandom random) {
    this.members = members;
    this.deadRetentionNanos = deadRetentionNanos;
    this.counters = counters;
    this.random = random;
  }

  /** Returns the next member to probe; empty if there is none. */
  Optional<MemberId> next(long now) {
    if (++callCount % REVIVAL_PROBE_INTERVAL == 0) {
      List<MemberId> dead = members.recentlyDeadMembers(now, deadRetentionNanos);
      if (!dead.isEmpty()) {
        counters.countRevivalProbe();
        return Optional.of(dead.get(random.nextInt(dead.size())));
      }
    }
    return nextActiveMember();
  }

  /** Returns the next active member, round-robin in a random order that changes every round. */
  private Optional<MemberId> nextActiveMember() {
    for (int checked = 0; checked <= probeOrder.size(); checked++) {
      if (nextIndex >= probeOrder.size()) {
        startNewRound();
        if (probeOrder.isEmpty()) {
          return Optional.empty();
        }
      }
      MemberId candidate = probeOrder.get(nextIndex++);
      if (members.find(candidate).filter(member -> member.state().isActive()).isPresent()) {
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
  }

  private void startNewRound() {
    probeOrder.clear();
    probeOrder.addAll(members.activeMembers());
    for (int i = probeOrder.size() - 1; i > 0; i--) {
      int j = random.nextInt(i + 1);
      probeOrder.set(i, probeOrder.set(j, probeOrder.get(i)));
    }
    nextIndex = 0;
  }

  /** Returns up to {@code count} random active members other than {@code target}. */
  List<MemberId> relaysFor(MemberId target, int count) {
    List<MemberId> candidates = new ArrayList<>(members.activeMembers());
    candidates.remove(target);
    List<MemberId> relays = new ArrayList<>(count);
    while (relays.size() < count && !candidates.isEmpty()) {
      relays.add(candidates.remove(random.nextInt(candidates.size())));
    }
    return relays;
  }
}
