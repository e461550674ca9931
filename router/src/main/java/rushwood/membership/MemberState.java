package rushwood.membership;

/**
 * What a member is in a view. At one incarnation a later state in this order beats an earlier one;
 * a higher incarnation beats every state of a lower one.
 */
public enum MemberState {
  ALIVE,
  SUSPECT,
  DEAD,
  LEFT;

  /** Whether it is sent to: probed, asked to relay, counted in the view's size. */
  public boolean isActive() {
    return this == ALIVE || this == SUSPECT;
  }
}
