package rushwood.membership;

/** This router as a member: its address, its incarnation and whether it is leaving. */
final class LocalMember {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final MemberId id;
  private long incarnation;
  private boolean leaving;

  /**
   * The first incarnation is the start in Unix milliseconds, above those of any earlier process at
   * the same address.
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

  void leave() {
    leaving = true;
  }

  /**
   * Whether an update about this router is wrong and at an incarnation that peers would believe.
   */
  boolean mustRefute(MembershipUpdate update) {
    return !leaving && update.state() != MemberState.ALIVE && update.incarnation() >= incarnation;
  }

  /** Takes the first incarnation that overrides the update. */
  void refute(MembershipUpdate update) {
    incarnation = update.incarnation() + 1;
  }

  /** An update that says this state of this router, at its current incarnation. */
  MembershipUpdate update(MemberState state) {
    return new MembershipUpdate(id, state, incarnation, id);
  }
}
