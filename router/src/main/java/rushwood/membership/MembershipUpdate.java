package rushwood.membership;

/**
 * A statement about the state of one member, disseminated among all members.
 *
 * @param member the member that the update is about
 * @param incarnation the incarnation of {@code member} to which the state applies
 * @param origin the member that created the update; suspicions by different origins confirm each
 *     other
 */
public record MembershipUpdate(
    MemberId member, MemberState state, long incarnation, MemberId origin) {
  /** Returns whether this update takes precedence over the member's known state and incarnation. */
  boolean overrides(MemberState currentState, long currentIncarnation) {
    if (incarnation != currentIncarnation) {
      return incarnation > currentIncarnation;
    }
    return state.compareTo(currentState) > 0;
  }
}
