package rushwood.membership;

/**
 * What is said of one member.
 *
 * @param incarnation of {@code member}, to which the state applies
 * @param origin the member that said so first; counts as a confirmation of a suspicion
 */
public record MembershipUpdate(
    MemberId member, MemberState state, long incarnation, MemberId origin) {
  /** Whether this update is to replace what is held of the member. */
  boolean overrides(MemberState currentState, long currentIncarnation) {
    if (incarnation != currentIncarnation) {
      return incarnation > currentIncarnation;
    }
    return state.compareTo(currentState) > 0;
  }
}
