package rushwood.membership;

/** This router's own membership: its address, its incarnation and whether it is leaving. */
final class LocalMember {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final MemberId id;
  private long incarnation;
  private boolean leaving;

  /**
   * Creates a member whose first incarnation is {@code now} in Unix milliseconds, so that it is
   * higher than the incarnations of earlier processes at the same address.
   */
  LocalMember(MemberId id, long now) {
    this.id = id;
    incarnation = Math.max(1, now / NANOS_PER_MILLI);
  }

  MemberId id() {
    return id;
  }

  long incarnation() {
    return incarnation;
  }

  boolean isLeaving() {
    return leaving;
  }

  void markLeaving() {
    leaving = true;
  }

  /**
   * Returns whether an update falsely says that this router is not alive, at an incarnation that
   * makes peers believe it.
   */
  boolean mustRefute(MembershipUpdate update) {
    return !leaving && update.state() != MemberState.ALIVE && update.incarnation() >= incarnation;
  }

  /** Raises the incarnation to the lowest that overrides the update. */
  void refute(MembershipUpdate update) {
    incarnation = update.incarnation() + 1;
  }

  /** Returns an update that announces a state of this router at its current incarnation. */
  MembershipUpdate newUpdate(MemberState state) {
    return new MembershipUpdate(id, state, incarnation, id);
  }
}
