package rushwood.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Chooses whom to probe, and who is asked to probe a member that did not answer. */
final class ProbeTargets {
  /** Of so many probes one goes to a member that was declared dead lately. */
  private static final int REVIVAL_PROBE_INTERVAL = 4;

  private final MemberTable members;
  private final long deadRetentionNanos;
  private final MembershipCounters counters;
  private final SplittableRandom random;
  private final List<MemberId> probeOrder = new ArrayList<>();
  private int nextIndex;
  private int chosenCount;

  /** {@code deadRetentionNanos}: how long a dead member is still probed now and then. */
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

  /** The next member to probe; empty if there is none. */
  Optional<MemberId> next(long now) {
    if (++chosenCount % REVIVAL_PROBE_INTERVAL == 0) {
      List<MemberId> dead = members.recentlyDead(now, deadRetentionNanos);
      if (!dead.isEmpty()) {
        counters.countRevivalProbe();
        return Optional.of(dead.get(random.nextInt(dead.size())));
      }
    }
    return nextInOrder();
  }

  /** Round-robin over a random order that is drawn anew each round. */
  private Optional<MemberId> nextInOrder() {
    for (int tries = 0; tries <= probeOrder.size(); tries++) {
      if (nextIndex >= probeOrder.size()) {
        shuffle();
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

  private void shuffle() {
    probeOrder.clear();
    probeOrder.addAll(members.active());
    for (int i = probeOrder.size() - 1; i > 0; i--) {
      int j = random.nextInt(i + 1);
      probeOrder.set(i, probeOrder.set(j, probeOrder.get(i)));
    }
    nextIndex = 0;
  }

  /** Up to {@code count} random active members other than {@code target}. */
  List<MemberId> relaysFor(MemberId target, int count) {
    List<MemberId> candidates = new ArrayList<>(members.active());
    candidates.remove(target);
    List<MemberId> relays = new ArrayList<>(count);
    while (relays.size() < count && !candidates.isEmpty()) {
      relays.add(candidates.remove(random.nextInt(candidates.size())));
    }
    return relays;
  }
}
