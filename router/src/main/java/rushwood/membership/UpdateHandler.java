package rushwood.membership;

/** Takes what this router itself has found out about a member. */
@FunctionalInterface
interface UpdateHandler {
  void apply(long now, MembershipUpdate update);
}
