package rushwood.discovery;

/**
 * What becomes of a list from discovery: the first of these cases that holds, in this order.
 *
 * <p>A list that is ignored still counts in one respect: its draining and removed endpoints get
 * nothing new, since to send to a leaving host is the greater harm. The same holds for a list that
 * cannot be read to its end: it is never decided on, its request fails with an {@link
 * UnreadableListException}, and the list is polled again at once.
 */
public enum ListDecision {
  /** Ignored: the request that brought it has been closed, as it timed out or was replaced. */
  IGNORED_REQUEST_CLOSED,
  /**
   * Ignored: its version is older than that of the list in force, see {@link
   * ListAcceptancePolicy#decide}. The list is polled again at once.
   */
  IGNORED_OLDER_VERSION,
  /** Nothing to apply: it has the version and the checksum of the list in force. */
  UNCHANGED,
  /**
   * Applied. A complete list replaces the list in force, any other updates it, and so does one
   * without an array of entries. An entry that cannot be read leaves its endpoint as it was, but
   * for the state if that can be read; the list is then polled again within a poll interval.
   */
  APPLIED
}
