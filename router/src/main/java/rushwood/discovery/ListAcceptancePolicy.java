package rushwood.discovery;

import java.util.OptionalLong;

/**
 * Tells by their versions which of the received lists may be applied.
 *
 * <p>An agent's versions rise. A list whose version goes back may be an old one that was delayed,
 * or come from an agent that has lost its state, so it is accepted only if the agent keeps sending
 * such lists. Versions of different agents do not compare.
 */
final class ListAcceptancePolicy {
  /** After so many complete lists of an older version in a row, the older version is accepted. */
  private static final int OLDER_LISTS_UNTIL_APPLIED = 3;

  private long version;
  private boolean agentChanged;
  private boolean currentAgentListed;
  private int consecutiveOlderLists;

  /**
   * Creates a tracker.
   *
   * @param version version of the list held from an earlier process, 0 for none; the lists of the
   *     first agent compare with it
   */
  ListAcceptancePolicy(long version) {
    this.version = version;
  }

  /** From now on another agent is asked, of which no list has come yet. */
  void agentChanged() {
    agentChanged = true;
    currentAgentListed = false;
  }

  /** The version that is held, empty if no complete list of the current agent has come. */
  OptionalLong currentAgentVersion() {
    return currentAgentListed ? OptionalLong.of(version) : OptionalLong.empty();
  }

  /** Whether a list of the current agent brings another version than the one that is held. */
  boolean isChange(OptionalLong listVersion) {
    return listVersion.isEmpty() || !listVersion.equals(currentAgentVersion());
  }

  /**
   * Accepts a list or rejects it as too old, and counts it.
   *
   * @param complete whether it is the complete list
   * @param listVersion its version, empty if it could not be read; such a list is accepted
   * @param fromCurrentAgent whether the current agent has sent it, not the one before
   * @return whether it is accepted; its version is then the one that is held
   */
  boolean accept(boolean complete, OptionalLong listVersion, boolean fromCurrentAgent) {
    boolean firstOfNewAgent = complete && fromCurrentAgent && agentChanged && !currentAgentListed;
    if (!firstOfNewAgent && isOlder(listVersion)) {
      if (complete) {
        consecutiveOlderLists++;
      }
      if (!complete || consecutiveOlderLists < OLDER_LISTS_UNTIL_APPLIED) {
        return false;
      }
    }
    version = listVersion.orElse(version);
    if (complete) {
      consecutiveOlderLists = 0;
      currentAgentListed |= fromCurrentAgent;
    }
    return true;
  }

  private boolean isOlder(OptionalLong listVersion) {
    return listVersion.isPresent() && listVersion.getAsLong() < version;
  }
}
