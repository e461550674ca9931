package rushwood.discovery;

import java.util.OptionalLong;

/**
 * Decides by its version whether a list from discovery is applied, and knows which list is in
 * force.
 *
 * <p>An agent's versions rise. A list whose version goes back may be an old one that was delayed,
 * or come from an agent that has lost its state, so it is applied only if the agent keeps sending
 * such lists. Versions of different agents do not compare.
 *
 * <p>Not thread-safe; used on the event loop only.
 */
final class ListAcceptancePolicy {
  /** After so many complete lists of an older version in a row, the older version is applied. */
  private static final int OLDER_LISTS_UNTIL_APPLIED = 3;

  private long appliedVersion;
  private long appliedChecksum;
  private boolean agentChanged;
  private boolean currentAgentListed;
  private int consecutiveOlderLists;
  private boolean isListUncertain; // the last list was not applied, or not readable, in full

  /**
   * Creates a policy.
   *
   * @param lastKnownVersion version of the list held from an earlier process, 0 for none; the lists
   *     of the first agent compare with it
   */
  ListAcceptancePolicy(long lastKnownVersion) {
    appliedVersion = lastKnownVersion;
  }

  /** From now on another agent is asked, of which no list has come yet. */
  void agentChanged() {
    agentChanged = true;
    currentAgentListed = false;
  }

  /** A request has ended without the list that it was made for. */
  void requestFailed() {
    isListUncertain = true;
  }

  /**
   * Decides on a list. It is ignored if its version is older than that of the list in force, unless
   * it is a complete list and either
   *
   * <ul>
   *   <li>the first of the current agent after a change of the agent's address, or
   *   <li>the third in a row (of complete lists) whose version is older.
   * </ul>
   *
   * <p>A list without a readable version is applied.
   *
   * @param fromCurrentAgent whether the current agent has sent it, not the one before
   * @return what becomes of the list; if it is applied, it is the list in force from now on
   */
  ListDecision decide(EndpointList list, boolean fromCurrentAgent) {
    if (isTooOld(list, fromCurrentAgent)) {
      isListUncertain = true;
      return ListDecision.IGNORED_OLDER_VERSION;
    }
    isListUncertain = !list.isWellFormed();
    appliedVersion = list.version().orElse(appliedVersion);
    if (list.complete()) {
      consecutiveOlderLists = 0;
      currentAgentListed |= fromCurrentAgent;
    }
    if (list.unchanged()) {
      return ListDecision.UNCHANGED;
    }
    if (list.complete()) {
      appliedChecksum = list.checksum();
    }
    return ListDecision.APPLIED;
  }

  /** Counts the complete lists that are older, in a row. */
  private boolean isTooOld(EndpointList list, boolean fromCurrentAgent) {
    boolean isOlder = list.version().isPresent() && list.version().getAsLong() < appliedVersion;
    boolean isFirstOfNewAgent =
        list.complete() && fromCurrentAgent && agentChanged && !currentAgentListed;
    if (!isOlder || isFirstOfNewAgent) {
      return false;
    }
    if (!list.complete()) {
      return true;
    }
    consecutiveOlderLists++;
    return consecutiveOlderLists < OLDER_LISTS_UNTIL_APPLIED;
  }

  /** The version in force, empty if no complete list of the current agent has come. */
  OptionalLong currentAgentVersion() {
    return currentAgentListed ? OptionalLong.of(appliedVersion) : OptionalLong.empty();
  }

  /** Whether a list of the current agent brings another version than the one in force. */
  boolean isChange(OptionalLong listVersion) {
    return listVersion.isEmpty() || !listVersion.equals(currentAgentVersion());
  }

  /** The version of a list that need not be decoded again; empty if any list is wanted. */
  OptionalLong cachedVersion() {
    return isListUncertain ? OptionalLong.empty() : currentAgentVersion();
  }

  /**
   * The checksum of the complete list that was applied last; of use with {@link #cachedVersion}.
   */
  long cachedChecksum() {
    return appliedChecksum;
  }
}
