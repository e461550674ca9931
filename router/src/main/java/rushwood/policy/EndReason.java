package rushwood.policy;

/** Why the policy ends a request without an answer of a host. */
enum EndReason {
  /** The answer deadline has come; see {@link DeadlinePolicy#answerDeadline}. */
  EXPIRED,
  /** The settings allow no more attempts of one request. */
  ATTEMPTS_USED_UP,
  /** Attempts were answered with errors: the request itself may be at fault. */
  TOO_MANY_ERRORS,
  /** Under overload, the retry budget of the group allows no retry. */
  RETRY_BUDGET_USED_UP,
  /** An earlier attempt may have run, and the request must not run twice. */
  POSSIBLY_EXECUTED,
  /** An earlier attempt may have run, and the window of the idempotency key is nearly over. */
  IDEMPOTENCY_WINDOW_OVER;

  @SuppressWarnings("ImmutableEnumChecker") // a record of an enum constant is immutable
  private final Decision.Reject rejection = new Decision.Reject(this);

  @SuppressWarnings("ImmutableEnumChecker") // likewise
  private final Decision.Fail failure = new Decision.Fail(this);

  Decision.Reject rejection() {
    return rejection;
  }

  Decision.Fail failure() {
    return failure;
  }
}
