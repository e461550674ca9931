package rushwood.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The other members of the deployment and their states. The peer list determines the members;
 * messages never add one.
 */
final class MemberTable {
  /** Bounds the memory that a wrong peer list can take. Deployments have 100 routers. */
  static final int MAX_MEMBERS = 1024;

  private final Map<MemberId, Member> members = new TreeMap<>();
  private long version;
  private long lastChangeAt;

  /** Creates a table of all peers except {@code self}, each of them alive. */
  MemberTable(MemberId self, List<MemberId> peers, long now) {
    if (peers.size() > MAX_MEMBERS) {
      throw new IllegalArgumentException(
          "peer list has " + peers.size() + " entries; at most " + MAX_MEMBERS + " are allowed");
    }
    for (MemberId peer : peers) {
      if (!peer.equals(self)) {
        members.putIfAbsent(peer, new Member(peer, now));
      }
    }
    lastChangeAt = now;
  }

  /** Returns the member; empty for this router and for an id that is not in the peer list. */
  Optional<Member> find(MemberId id) {
    return Optional.ofNullable(members.get(id));
  }

  boolean contains(MemberId id) {
    return members.containsKey(id);
  }

  /** Returns the number of members in any state, without this router. */
  int size() {
    return members.size();
  }

  /** Returns the members that are alive or suspect, in the order of their ids. */
  List<MemberId> activeMembers() {
    return idsMatching(member -> member.state().isActive());
  }

  /** Returns the members that were declared dead less than {@code retentionNanos} ago. */
  List<MemberId> recentlyDeadMembers(long now, long retentionNanos) {
    return idsMatching(
        member -> member.state() == MemberState.DEAD && now - member.stateSince() < retentionNanos);
  }

  private List<MemberId> idsMatching(Predicate<Member> condition) {
    return members.values().stream().filter(condition).map(Member::id).toList();
  }

  /** Applies an update to a member, and records the time if the member's state changes. */
  void apply(Member member, MembershipUpdate update, long now) {
    if (member.apply(update, now)) {
      version++;
      lastChangeAt = now;
    }
  }

  /** Returns the number of changes of a member's state since the start. */
  long version() {
    return version;
  }

  /** Returns the time of the last change of a member's state, or of the start if none. */
  long lastChangeAt() {
    return lastChangeAt;
  }
}
