package rushwood.membership;

import java.util.Set;
import java.util.TreeSet;

/** What this router holds of one other member. */
final class Member {
  private final MemberId id;
  private final Set<MemberId> suspecters = new TreeSet<>();
  private MemberState state = MemberState.ALIVE;
  private long incarnation;
  private long stateSince;

  /** A member is taken for alive, at incarnation 0, until something is heard of it. */
  Member(MemberId id, long now) {
    this.id = id;
    this.stateSince = now;
  }

  MemberId id() {
    return id;
  }

  MemberState state() {
    return state;
  }

  long incarnation() {
    return incarnation;
  }

  /** When the state last changed. */
  long stateSince() {
    return stateSince;
  }

  /** An update by {@code origin} that says another state of this member, at its incarnation. */
  MembershipUpdate updateTo(MemberState newState, MemberId origin) {
    return new MembershipUpdate(id, newState, incarnation, origin);
  }

  /** Members that said independently that this one is suspect, beyond the first to say so. */
  int confirmations() {
    return suspecters.size() - 1;
  }

  /** Counts {@code origin} among those who suspect this member, unless enough do already. */
  void addSuspecter(MemberId origin, int maxSuspecters) {
    if (suspecters.size() < maxSuspecters) {
      suspecters.add(origin);
    }
  }

  /** Whether this member is suspect at that incarnation. */
  boolean isSuspectAt(long otherIncarnation) {
    return state == MemberState.SUSPECT && incarnation == otherIncarnation;
  }

  /**
   * Takes state and incarnation of an update and forgets who suspected the member before.
   *
   * @return whether the state changed
   */
  boolean apply(MembershipUpdate update, long now) {
    boolean changed = state != update.state();
    incarnation = update.incarnation();
    state = update.state();
    suspecters.clear();
    if (changed) {
      stateSince = now;
    }
    return changed;
  }
}
