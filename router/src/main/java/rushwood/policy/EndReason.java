package rushwood.policy;

/** Why the policy ends a request without an answer from a host. */
enum EndReason {
  /** The answer deadline has been reached; see {@link DeadlinePolicy#answerDeadline}. */
  EXPIRED,
  /** The request has used up the attempts that the settings allow. */
  ATTEMPTS_USED_UP,
  /** Several attempts were answered with errors: the request itself may be at fault. */
  TOO_MANY_ERRORS,
  /** Overload control allows no retry in this group, because its retry budget is used up. */
  RETRY_BUDGET_USED_UP,
  /** An earlier attempt may have run, and the request must not run twice. */
  POSSIBLY_EXECUTED,
  /** An earlier attempt may have run, and the window of the idempotency key is nearly over. */
  IDEMPOTENCY_WINDOW_OVER;

  @SuppressWarnings("ImmutableEnumChecker") // the records are immutable
  private final Decision.Reject rejection = new Decision.Reject(this);

  @SuppressWarnings("ImmutableEnumChecker") // see above
  private final Decision.Fail failure = new Decision.Fail(this);

  Decision.Reject rejection() {
    return rejection;
  }

  Decision.Fail failure() {
    return failure;
  }
}
