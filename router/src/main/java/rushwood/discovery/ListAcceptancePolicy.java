package rushwood.discovery;

import java.util.OptionalLong;

/**
 * Decides by version whether a list from discovery is applied, and tracks the version of the
 * current list (the result of all lists applied so far).
 *
 * <p>An agent's versions increase. A list with an older version may have been delayed, or the agent
 * may have lost its state, so such a list is applied only if the agent keeps sending older lists.
 * Versions of different agents are not comparable.
 *
 * <p>Not thread-safe; used on the event loop only.
 */
final class ListAcceptancePolicy {
  /** Number of complete lists in a row with an older version, of which the last is applied. */
  private static final int ROLLBACK_THRESHOLD_LISTS = 3;

  private long appliedVersion;
  private long appliedChecksum;

  /** Whether the agent's address has ever changed. */
  private boolean agentChanged;

  /** Whether the current agent has sent a complete list that was not ignored. */
  private boolean completeListReceived;

  private int consecutiveOlderLists;

  /**
   * Whether the next complete list has to be decoded in any case, because the last list was ignored
   * or could not be read in full, or the last request failed.
   */
  private boolean isCacheInvalid;

  /**
   * Creates a policy.
   *
   * @param lastKnownVersion version of the list that an earlier process saved, 0 if there is none;
   *     versions of the first agent's lists are compared with it
   */
  ListAcceptancePolicy(long lastKnownVersion) {
    appliedVersion = lastKnownVersion;
  }

  /** Records that requests go to another agent from now on. */
  void agentChanged() {
    agentChanged = true;
    completeListReceived = false;
  }

  /** Records that a request failed, so that the next complete list is decoded in any case. */
  void requestFailed() {
    isCacheInvalid = true;
  }

  /**
   * Decides whether to apply a list. A list with a version older than the current one is ignored,
   * unless it is a complete list and either
   *
   * <ul>
   *   <li>the first one from the current agent after the agent's address changed, or
   *   <li>the third complete list in a row with an older version.
   * </ul>
   *
   * <p>A list without a readable version is applied.
   *
   * @param fromCurrentAgent whether the list comes from the current agent rather than the previous
   *     one
   * @return the decision; unless it is {@link ListDecision#IGNORED_OLDER_VERSION}, a readable
   *     version of the list becomes the current version
   */
  ListDecision decide(EndpointList list, boolean fromCurrentAgent) {
    if (isTooOld(list, fromCurrentAgent)) {
      isCacheInvalid = true;
      return ListDecision.IGNORED_OLDER_VERSION;
    }
    isCacheInvalid = !list.isWellFormed();
    appliedVersion = list.version().orElse(appliedVersion);
    if (list.complete()) {
      consecutiveOlderLists = 0;
      completeListReceived |= fromCurrentAgent;
    }
    if (list.unchanged()) {
      return ListDecision.UNCHANGED;
    }
    if (list.complete()) {
      appliedChecksum = list.checksum();
    }
    return ListDecision.APPLIED;
  }

  /**
   * Returns whether to ignore the list because its version is older, and counts the complete lists
   * in a row with an older version.
   */
  private boolean isTooOld(EndpointList list, boolean fromCurrentAgent) {
    boolean isOlder = list.version().isPresent() && list.version().getAsLong() < appliedVersion;
    boolean isFirstOfNewAgent =
        list.complete() && fromCurrentAgent && agentChanged && !completeListReceived;
    if (!isOlder || isFirstOfNewAgent) {
      return false;
    }
    if (!list.complete()) {
      return true;
    }
    consecutiveOlderLists++;
    return consecutiveOlderLists < ROLLBACK_THRESHOLD_LISTS;
  }

  /** Returns the current version; empty until the current agent has sent a complete list. */
  OptionalLong currentAgentVersion() {
    return completeListReceived ? OptionalLong.of(appliedVersion) : OptionalLong.empty();
  }

  /**
   * Returns whether the version of a list differs from the current version. This is also the case
   * if either of them is empty.
   */
  boolean isDifferentVersion(OptionalLong listVersion) {
    return listVersion.isEmpty() || !listVersion.equals(currentAgentVersion());
  }

  /**
   * Returns the version whose complete list need not be decoded again if its checksum equals {@link
   * #cachedChecksum}; empty if the next complete list has to be decoded in any case.
   */
  OptionalLong cachedVersion() {
    return isCacheInvalid ? OptionalLong.empty() : currentAgentVersion();
  }

  /** Returns the checksum of the complete list that was applied last, 0 if there is none. */
  long cachedChecksum() {
    return appliedChecksum;
  }
}
