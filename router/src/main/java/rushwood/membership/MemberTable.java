package rushwood.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The other members of the deployment and their states. The members are those of the peer list for
 * good: nothing that is heard adds one.
 */
final class MemberTable {
  /** Deployments have 100 routers; this bounds the memory of a wrong peer list. */
  static final int MAX_MEMBERS = 1024;

  private final Map<MemberId, Member> members = new TreeMap<>();
  private long version;
  private long lastChangeAt;

  /** A table of the peers but {@code self}. */
  MemberTable(MemberId self, List<MemberId> peers, long now) {
    if (peers.size() > MAX_MEMBERS) {
      throw new IllegalArgumentException(
          "membership: " + peers.size() + " peers, " + MAX_MEMBERS + " at most");
    }
    for (MemberId peer : peers) {
      if (!peer.equals(self)) {
        members.putIfAbsent(peer, new Member(peer, now));
      }
    }
    lastChangeAt = now;
  }

  /** The member; empty for one outside the peer list. */
  Optional<Member> find(MemberId id) {
    return Optional.ofNullable(members.get(id));
  }

  boolean contains(MemberId id) {
    return members.containsKey(id);
  }

  /** Members in any state, this router not among them. */
  int size() {
    return members.size();
  }

  /** Members that are alive or suspect, in the order of their addresses. */
  List<MemberId> active() {
    return idsOf(member -> member.state().isActive());
  }

  /** Members declared dead since less than {@code retention} nanoseconds. */
  List<MemberId> recentlyDead(long now, long retention) {
    return idsOf(
        member -> member.state() == MemberState.DEAD && now - member.stateSince() < retention);
  }

  private List<MemberId> idsOf(Predicate<Member> condition) {
    return members.values().stream().filter(condition).map(Member::id).toList();
  }

  /** Gives a member the state and incarnation of an update. */
  void apply(Member member, MembershipUpdate update, long now) {
    if (member.apply(update, now)) {
      version++;
      lastChangeAt = now;
    }
  }

  /** Grows by one with each change of a member's state. */
  long version() {
    return version;
  }

  long lastChangeAt() {
    return lastChangeAt;
  }
}
