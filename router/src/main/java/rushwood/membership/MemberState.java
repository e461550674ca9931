package rushwood.membership;

/** State of a member. At one incarnation a later state in this order overrides an earlier one. */
public enum MemberState {
  /** Answers probes, or nothing else has been heard of it. */
  ALIVE,
  /** Did not answer a probe; may still refute that. */
  SUSPECT,
  /** Did not refute the suspicion in time. */
  DEAD,
  /** Said itself that it shuts down. */
  LEFT;

  /** Whether such a member is probed, asked to relay and counted in the view's size. */
  public boolean isActive() {
    return this == ALIVE || this == SUSPECT;
  }
}
