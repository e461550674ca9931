package rushwood.testbed.load;

/**
 * Names of figures and time series that more than one class reports or reads. All names in reports
 * are kept as they have been, since saved reports and the scripts that read them use them.
 */
public final class ReportNames {
  /** Tries that clients begin. */
  public static final String TRIES_SERIES = "tries";

  /** Tries of clients after their first one. */
  public static final String CLIENT_RETRIES_SERIES = "repeats";

  /** Clients that were served. */
  public static final String GOODPUT_SERIES = "goodput";

  /** Tries that were rejected. */
  public static final String REJECTED_SERIES = "turned back";

  /** Changes of a router's overload state. */
  public static final String OVERLOAD_CHANGES_SERIES = "changes of weather";

  /** Share of the clients that were served. */
  public static final String SHARE_SUCCEEDED = "share_fulfilled";

  /** Clients with a write that may have run. */
  public static final String OUTCOME_UNKNOWN = "in_doubt";

  /** Clients that gave up after their last try. */
  public static final String TRIES_EXHAUSTED = "out_of_tries";

  /** Clients that neither were served nor gave up by the end. */
  public static final String UNFINISHED = "unfinished";

  /** Tries that were rejected. */
  public static final String REJECTED = "turned_back";

  private static final String ACTIVE_REQUESTS_PREFIX = "in work at ";

  private ReportNames() {}

  /** The series of the requests that a host has accepted and not yet done. */
  public static String activeRequestsSeries(String host) {
    return ACTIVE_REQUESTS_PREFIX + host;
  }
}
