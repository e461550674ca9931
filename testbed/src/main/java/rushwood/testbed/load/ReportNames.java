package rushwood.testbed.load;

/**
 * The names of figures and time series in reports. Some are in former terms (see the glossary):
 * they are kept as they have been, since saved reports and the scripts that read them use them.
 */
public final class ReportNames {
  // Time series

  /** The field of a JSON report that holds all time series. */
  public static final String TIME_SERIES = "lines";

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

  private static final String ACTIVE_REQUESTS_PREFIX = "in work at ";
  private static final String RELATIVE_SPEED_PREFIX = "warmth of ";

  // Figures of clients, of all or after the prefix of a population

  /** Clients. */
  public static final String CLIENTS = "clients";

  /** Clients that were served. */
  public static final String SUCCEEDED = "fulfilled";

  /** Share of the clients that were served. */
  public static final String SHARE_SUCCEEDED = "share_fulfilled";

  /** Clients with a write that may have run. */
  public static final String OUTCOME_UNKNOWN = "in_doubt";

  /** Clients that gave up after their last try. */
  public static final String TRIES_EXHAUSTED = "out_of_tries";

  /** Clients that neither were served nor gave up by the end. */
  public static final String UNFINISHED = "unfinished";

  /** Tries. */
  public static final String TRIES = "tries";

  /** Tries that were rejected. */
  public static final String REJECTED = "turned_back";

  /** Tries that were rejected with a Retry-After. */
  public static final String REJECTED_WITH_RETRY_AFTER = "turned_back_with_wait";

  /** Connections that clients began to open. */
  public static final String CONNECTS = "connects";

  /** Connections that the router closed though it had told their client when to come back. */
  public static final String CLOSED_DESPITE_RETRY_AFTER = "closed_though_told_to_return";

  /** Tries that were sent and got no answer. */
  public static final String UNANSWERED_TRIES = "tries_without_answer";

  /** Answers that no try waited for, or another client's. */
  public static final String SURPLUS_ANSWERS = "answers_too_many";

  private static final String REJECTED_OF_GROUP_PREFIX = REJECTED + "_of_group_";
  private static final String POPULATION_PREFIX = "crowd";

  // Figures of routers

  /** Routers. */
  public static final String ROUTERS = "routers";

  /** Attempts of all routers. */
  public static final String ATTEMPTS = "shots";

  /** Attempts to connect to hosts whose process did not run, health checks among them. */
  public static final String CONNECTS_WHILE_DOWN = "dials_at_hosts_down";

  /** CPU time of the router. */
  public static final String ROUTER_CPU_SECONDS = "router_cpu_seconds";

  // Figures of hosts, of all or after the id of one

  /** See {@link rushwood.testbed.model.HostModel#worstColdOverload()}. */
  public static final String WORST_COLD_OVERLOAD = "worst_cold_push";

  /** Crashes of overload. */
  public static final String OVERLOAD_CRASHES = "falls";

  /** Statements that arrived. */
  public static final String RECEIVED_REQUESTS = "offered";

  /** Connections that were accepted. */
  public static final String ACCEPTED_CONNECTIONS = "accepted";

  /** Statements that were refused because the queue was full. */
  public static final String OVERLOADED_REPLIES = "overfull";

  // Figures of the whole run

  /** When the last client was served. */
  public static final String LAST_SUCCESS_SECONDS = "seconds_until_done";

  /** The time that all hosts together need at least for the clients that were served. */
  public static final String WORK_SECONDS = "seconds_of_work_owed";

  /** Tries that ran more than once. */
  public static final String DUPLICATED_TRIES = "doubled_tries";

  /** Writes that ran more than once over all tries. */
  public static final String DUPLICATED_WRITES = "doubled_writes";

  /** Writes that were confirmed though no host ran them. */
  public static final String FALSE_SUCCESSES = "untrue_answers";

  private static final String COMPLETION_PERCENTILE_PREFIX = "done_p";

  private ReportNames() {}

  /** The series of the requests that a host has accepted and not yet done. */
  public static String activeRequestsSeries(String host) {
    return ACTIVE_REQUESTS_PREFIX + host;
  }

  /** The series of a host's speed as a share of its speed when warm. */
  static String relativeSpeedSeries(String host) {
    return RELATIVE_SPEED_PREFIX + host;
  }

  /** Rejected tries of clients of a group. */
  public static String rejectedOfGroup(int group) {
    return REJECTED_OF_GROUP_PREFIX + group;
  }

  /** A figure of the population at that index of the experiment's file. */
  public static String ofPopulation(int index, String figure) {
    return POPULATION_PREFIX + index + "." + figure;
  }

  /** A figure of one host. */
  public static String ofHost(String host, String figure) {
    return host + "." + figure;
  }

  /** The time from arrival to service that so many percent of the served clients stayed within. */
  static String completionPercentile(double percentile) {
    return COMPLETION_PERCENTILE_PREFIX + (int) percentile;
  }
}
