package rushwood.membership;

/** Receives the updates that this router itself creates about other members. */
@FunctionalInterface
interface UpdateHandler {
  void apply(long now, MembershipUpdate update);
}
