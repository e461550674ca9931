package rushwood.policy;

/**
 * What {@link RequestDecider} decides about a request: send it to a host, let it wait, or end it
 * with one of the two final answers. All decisions are existing objects, so that a decision
 * allocates nothing.
 */
sealed interface Decision {
  /**
   * An attempt is sent to the host. Each host has one such object, {@link HostState#sendDecision}.
   */
  record Send(HostState host) implements Decision {}

  /** The request waits in the queue of its group for a host of that group. */
  enum Wait implements Decision {
    /** The primary is known and usable, but has no free slot for this request. */
    PRIMARY_HAS_NO_FREE_SLOT,
    /** No usable primary is known, and this write may not search for it now. */
    PRIMARY_UNKNOWN,
    /**
     * No member of the group may answer this read now, for example because all are ejected or
     * avoided.
     */
    NO_SUITABLE_HOST,
    /** The hosts that may answer this read have no free slot for it. */
    NO_FREE_SLOT
  }

  /** Final answer: trying again is harmless, since the request never ran or may run twice. */
  record Reject(EndReason reason) implements Decision {}

  /** Final answer: the request may have run, and must not run twice. */
  record Fail(EndReason reason) implements Decision {}
}
