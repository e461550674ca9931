package rushwood.discovery;

/**
 * Result of the decision whether to apply a list from discovery. The first constant whose condition
 * holds applies.
 *
 * <p>The draining and removed endpoints of an ignored list still receive nothing new, because
 * sending to a leaving host does more harm than not sending to a ready one. The same holds for a
 * list that cannot be read to its end. No decision is made on such a list: its request fails with
 * an {@link UnreadableListException}, and the complete list is polled again urgently (see {@link
 * PollSchedule}).
 */
public enum ListDecision {
  /** Ignored because its request is closed already, for example after a timeout. */
  IGNORED_REQUEST_CLOSED,
  /**
   * Ignored because its version is older than that of the current list, see {@link
   * ListAcceptancePolicy#decide}. The complete list is polled again urgently (see {@link
   * PollSchedule}).
   */
  IGNORED_OLDER_VERSION,
  /** Not applied because it equals the current list in version and checksum. */
  UNCHANGED,
  /**
   * Applied. A complete list replaces the current list. Any other list, or a list without an array
   * of entries, updates it. An invalid entry changes only the state of its endpoint, if the state
   * can be read; the complete list is then polled again within a poll interval.
   */
  APPLIED
}
