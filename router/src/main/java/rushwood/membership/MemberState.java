package rushwood.membership;

/**
 * State of a member. The order of the constants is their precedence: at the same incarnation, a
 * later constant overrides an earlier one.
 */
public enum MemberState {
  /** Presumed to be running; also the initial state of every member. */
  ALIVE,
  /** Did not answer a probe, but can still refute the suspicion. */
  SUSPECT,
  /** Did not refute the suspicion in time. */
  DEAD,
  /** Announced its own shutdown. */
  LEFT;

  /**
   * Returns whether a member in this state is probed in turn, asked to relay probes and counted in
   * {@link Membership#size}.
   */
  public boolean isActive() {
    return this == ALIVE || this == SUSPECT;
  }
}
