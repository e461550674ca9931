package rushwood.fleet;

/**
 * A word about one member: its state at an incarnation, and who said it first ({@code by}, for
 * suspicions).
 */
public record News(MemberId member, MemberState state, long incarnation, MemberId by) {
  /**
   * Whether this word overrides what is held of the member at {@code held} in {@code heldState}.
   */
  boolean overrides(MemberState heldState, long held) {
    if (incarnation != held) {
      return incarnation > held;
    }
    return state.compareTo(heldState) > 0;
  }
}
