package rushwood.policy;

/**
 * What is to be done with a request: send it to a host, let it wait, or end it with one of the two
 * final answers. {@link RequestDecider} makes these decisions. All of them are objects that exist
 * already, so that a decision allocates nothing.
 */
sealed interface Decision {
  /**
   * An attempt goes to that host; {@link HostState#sendDecision} is the one such object of a host.
   */
  record Send(HostState host) implements Decision {}

  /** The request waits in the queue of its group for one of its hosts. */
  enum Wait implements Decision {
    /** The primary is known and usable, but has no free slot for this request. */
    PRIMARY_HAS_NO_FREE_SLOT,
    /** No usable primary is known, and this write may not look for it now. */
    PRIMARY_UNKNOWN,
    /** No member of the group may answer this read now: all are ejected, lagging or avoided. */
    NO_SUITABLE_HOST,
    /** Hosts that may answer this read have no free slot for it. */
    NO_FREE_SLOT
  }

  /** Final answer: trying again is harmless, since the request never ran or may run twice. */
  record Reject(EndReason reason) implements Decision {}

  /** Final answer: the request may have run, and must not run twice. */
  record Fail(EndReason reason) implements Decision {}
}
