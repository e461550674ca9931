package rushwood.testbed.load;

/**
 * The names of figures and time series in reports. Some of them are former terms, which the
 * glossary explains; they must not change, because saved reports and the scripts that read them use
 * them.
 */
public final class ReportNames {
  // What was played

  /** The SHA-256 checksum of the router's jar, in hexadecimal. */
  public static final String ROUTER_JAR_CHECKSUM = "router_jar_sha256";

  // Time series

  /** The field of a JSON report that holds all time series. */
  public static final String TIME_SERIES = "lines";

  /** Tries started by clients. */
  public static final String TRIES_SERIES = "tries";

  /** Tries of clients after their first try. */
  public static final String CLIENT_RETRIES_SERIES = "repeats";

  /** Clients that succeeded. */
  public static final String GOODPUT_SERIES = "goodput";

  /** Tries that were rejected. */
  public static final String REJECTED_SERIES = "turned back";

  /** Changes of a router's overload state. */
  public static final String OVERLOAD_CHANGES_SERIES = "changes of weather";

  private static final String ACTIVE_REQUESTS_PREFIX = "in work at ";
  private static final String RELATIVE_SPEED_PREFIX = "warmth of ";

  // Figures of clients: of all, or of one population after its prefix, see ofPopulation

  /** Number of clients. */
  public static final String CLIENTS = "clients";

  /** Number of clients that succeeded. */
  public static final String SUCCEEDED = "fulfilled";

  /** Share of the clients that succeeded. */
  public static final String SHARE_SUCCEEDED = "share_fulfilled";

  /** Clients that stopped because their write may have run. */
  public static final String OUTCOME_UNKNOWN = "in_doubt";

  /** Clients that gave up after the maximum number of tries. */
  public static final String TRIES_EXHAUSTED = "out_of_tries";

  /** Clients that had not finished when the experiment ended. */
  public static final String UNFINISHED = "unfinished";

  /** Number of tries. */
  public static final String TRIES = "tries";

  /** Tries that were rejected. */
  public static final String REJECTED = "turned_back";

  /** Tries that were rejected with a Retry-After. */
  public static final String REJECTED_WITH_RETRY_AFTER = "turned_back_with_wait";

  /** Connections that clients started to open. */
  public static final String CONNECTS = "connects";

  /** Connections that the router closed between a Retry-After and their client's next try. */
  public static final String CLOSED_DESPITE_RETRY_AFTER = "closed_though_told_to_return";

  /** Tries that were sent and not answered. */
  public static final String UNANSWERED_TRIES = "tries_without_answer";

  /** Answers that no try was waiting for, or that belong to another client. */
  public static final String SURPLUS_ANSWERS = "answers_too_many";

  private static final String REJECTED_OF_GROUP_PREFIX = REJECTED + "_of_group_";
  private static final String POPULATION_PREFIX = "crowd";

  // Figures of routers

  /** Number of routers. */
  public static final String ROUTERS = "routers";

  /** Attempts made by all routers. */
  public static final String ATTEMPTS = "shots";

  /** Attempts to connect to hosts that were down, including those of health checks. */
  public static final String CONNECTS_WHILE_DOWN = "dials_at_hosts_down";

  /** CPU time used by the router, in seconds. */
  public static final String ROUTER_CPU_SECONDS = "router_cpu_seconds";

  // Figures of hosts: of all, or of one host after its id, see ofHost

  /**
   * The most work that arrived at a cold host within a window, as a share of what it withstands;
   * see {@link rushwood.testbed.model.HostModel#worstColdOverload()}.
   */
  public static final String WORST_COLD_OVERLOAD = "worst_cold_push";

  /** Crashes caused by overload. */
  public static final String OVERLOAD_CRASHES = "falls";

  /** Statements that hosts received. */
  public static final String RECEIVED_REQUESTS = "offered";

  /** Connections that hosts accepted. */
  public static final String ACCEPTED_CONNECTIONS = "accepted";

  /** Statements that hosts refused because their queue was full. */
  public static final String OVERLOADED_REPLIES = "overfull";

  // Figures of the whole run

  /** Time of the last client's success, in seconds from the experiment's start. */
  public static final String LAST_SUCCESS_SECONDS = "seconds_until_done";

  /** Time in seconds that all hosts together need, when warm, to serve the successful clients. */
  public static final String WORK_SECONDS = "seconds_of_work_owed";

  /** Tries that were executed more than once. */
  public static final String DUPLICATED_TRIES = "doubled_tries";

  /** Writes that were executed more than once, counted over all their tries. */
  public static final String DUPLICATED_WRITES = "doubled_writes";

  /** Writes that were reported as successful although no host executed them. */
  public static final String FALSE_SUCCESSES = "untrue_answers";

  private static final String COMPLETION_PERCENTILE_PREFIX = "done_p";

  private ReportNames() {}

  /** Returns the name of the series of the requests that a host has accepted and not completed. */
  public static String activeRequestsSeries(String host) {
    return ACTIVE_REQUESTS_PREFIX + host;
  }

  /** Returns the name of the series of a host's speed, as a share of its warm speed. */
  static String relativeSpeedSeries(String host) {
    return RELATIVE_SPEED_PREFIX + host;
  }

  /** Returns the name of the figure for the rejected tries of a group's clients. */
  public static String rejectedOfGroup(int group) {
    return REJECTED_OF_GROUP_PREFIX + group;
  }

  /** Returns the name of a figure of the population at an index of the experiment file. */
  public static String ofPopulation(int index, String figure) {
    return POPULATION_PREFIX + index + "." + figure;
  }

  /** Returns the name of a figure of one host. */
  public static String ofHost(String host, String figure) {
    return host + "." + figure;
  }

  /** Returns the name of a percentile of the times from the clients' arrival to their success. */
  static String completionPercentile(double percentile) {
    return COMPLETION_PERCENTILE_PREFIX + (int) percentile;
  }
}
