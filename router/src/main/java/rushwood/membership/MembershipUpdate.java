package rushwood.membership;

/**
 * A word about one member: its state at an incarnation, and who said it first ({@code by}, for
 * suspicions).
 */
public record MembershipUpdate(
    MemberId member, MemberState state, long incarnation, MemberId origin) {
  /**
   * Whether this word overrides what is held of the member at {@code held} in {@code heldState}.
   */
  boolean overrides(MemberState currentState, long currentIncarnation) {
    if (incarnation != currentIncarnation) {
      return incarnation > currentIncarnation;
    }
    return state.compareTo(currentState) > 0;
  }
}
