package rushwood.membership;

import java.util.Set;
import java.util.TreeSet;

/** The state of one other member, as this router knows it. */
final class Member {
  private final MemberId id;
  private final Set<MemberId> suspecters = new TreeSet<>();
  private MemberState state = MemberState.ALIVE;
  private long incarnation;
  private long stateSince;

  /**
   * Creates a member that is presumed alive, at incarnation 0, until an update about it arrives.
   */
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

  /** Returns the time at which the state last changed. */
  long stateSince() {
    return stateSince;
  }

  /** Returns an update by {@code origin} that gives this member a new state, at its incarnation. */
  MembershipUpdate newUpdate(MemberState newState, MemberId origin) {
    return new MembershipUpdate(id, newState, incarnation, origin);
  }

  /**
   * Returns the number of members that independently suspect this one, in addition to the first.
   */
  int confirmations() {
    return suspecters.size() - 1;
  }

  /**
   * Adds {@code origin} to the members that suspect this one, unless {@code maxSuspecters} members
   * already do.
   */
  void addSuspecter(MemberId origin, int maxSuspecters) {
    if (suspecters.size() < maxSuspecters) {
      suspecters.add(origin);
    }
  }

  /** Returns whether this member is suspect at the given incarnation. */
  boolean isSuspectAt(long suspectedIncarnation) {
    return state == MemberState.SUSPECT && incarnation == suspectedIncarnation;
  }

  /**
   * Adopts the state and incarnation of an update and clears the members that suspect this one.
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
