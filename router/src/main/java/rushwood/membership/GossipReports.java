package rushwood.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Collects the observations of database hosts that peers report, each with its age.
 *
 * <p>Reports that have reached the maximum age are ignored. An observation is to be acted on only
 * if a quorum of members reported it independently, so that a single faulty or outdated peer cannot
 * take a host out of service. The number of hosts and the number of reports for each host are
 * bounded; expired reports are removed when their host is summarized.
 *
 * <p>Times are nanoseconds of one clock, that of this router.
 */
public final class GossipReports {
  /** Twice the size of the largest deployment, 1,024 hosts, to leave room while a list changes. */
  static final int MAX_HOSTS = 2048;

  /**
   * More than a quorum needs in a deployment of 100 routers. A quorum above this number would never
   * be reached.
   */
  static final int MAX_REPORTS_PER_HOST = 32;

  /** A condition of a host that a member has observed. */
  public enum Observation {
    /** The host does not accept connections. */
    UNREACHABLE,
    /** The host started recently and is still slow. */
    COLD,
    /** The host is about to leave. */
    DRAINING,
    /** The host is the primary of its group, which takes the writes. */
    PRIMARY,
    /** The host is a replica that is far behind its primary. */
    LAGGING
  }

  /**
   * One report.
   *
   * @param observedAt time of the observation by this router's clock: the time of receipt minus the
   *     age that the report had then
   */
  private record Report(MemberId reporter, Observation observation, long observedAt) {}

  /**
   * Summary of the unexpired reports of one observation of one host.
   *
   * @param reporterCount number of members that reported the observation
   * @param latestObservationAgeNanos age of the most recent observation; {@link Long#MAX_VALUE} if
   *     there is no report
   * @param hasQuorum whether enough members reported the observation to act on it
   */
  public record Summary(int reporterCount, long latestObservationAgeNanos, boolean hasQuorum) {
    static final Summary NONE = new Summary(0, Long.MAX_VALUE, false);
  }

  private final Map<String, Deque<Report>> reportsByHost = new TreeMap<>();
  private final long maxAgeNanos;
  private final int quorum;
  private long droppedReports;

  /**
   * Creates an empty collection.
   *
   * @param maxAgeNanos age at which a report expires; positive
   * @param quorum number of members that have to report the same observation; at least 1
   * @throws InvalidSettingException if a parameter is out of bounds
   */
  public GossipReports(long maxAgeNanos, int quorum) {
    if (maxAgeNanos <= 0) {
      throw new InvalidSettingException("maxAgeNanos", "must be positive");
    }
    if (quorum < 1) {
      throw new InvalidSettingException("quorum", "must be at least 1");
    }
    this.maxAgeNanos = maxAgeNanos;
    this.quorum = quorum;
  }

  /**
   * Adds a report, replacing an earlier one of the same observation of this host by the same
   * reporter. The report is dropped and counted if it has expired, if its age is negative, or if it
   * is about a new host and the maximum number of hosts is reached. If the host then has too many
   * reports, the one added first is removed.
   *
   * @param host the host's id
   * @param ageNanos time from the observation until {@code now}
   */
  public void add(
      long now, MemberId reporter, String host, Observation observation, long ageNanos) {
    boolean hasRoom = reportsByHost.containsKey(host) || reportsByHost.size() < MAX_HOSTS;
    if (ageNanos < 0 || ageNanos >= maxAgeNanos || !hasRoom) {
      droppedReports++;
      return;
    }
    Deque<Report> reports = reportsByHost.computeIfAbsent(host, absent -> new ArrayDeque<>());
    reports.removeIf(
        report -> report.reporter().equals(reporter) && report.observation() == observation);
    reports.addLast(new Report(reporter, observation, now - ageNanos));
    if (reports.size() > MAX_REPORTS_PER_HOST) {
      reports.removeFirst();
    }
  }

  /**
   * Returns a summary of the reports of one observation, and removes the host's expired reports.
   */
  public Summary summarize(long now, String host, Observation observation) {
    Deque<Report> reports = reportsByHost.get(host);
    if (reports == null) {
      return Summary.NONE;
    }
    reports.removeIf(report -> now - report.observedAt() >= maxAgeNanos);
    if (reports.isEmpty()) {
      reportsByHost.remove(host);
      return Summary.NONE;
    }
    TreeSet<MemberId> reporters = new TreeSet<>();
    long minAge = Long.MAX_VALUE;
    for (Report report : reports) {
      if (report.observation() == observation) {
        reporters.add(report.reporter());
        minAge = Math.min(minAge, now - report.observedAt());
      }
    }
    return reporters.isEmpty()
        ? Summary.NONE
        : new Summary(reporters.size(), minAge, reporters.size() >= quorum);
  }

  /**
   * Removes a reporter's reports of a host that the reporter now finds healthy, except a report
   * that the host is the primary.
   */
  public void retract(MemberId reporter, String host) {
    Deque<Report> reports = reportsByHost.get(host);
    if (reports != null) {
      reports.removeIf(
          report ->
              report.reporter().equals(reporter) && report.observation() != Observation.PRIMARY);
    }
  }

  /** Returns the number of reports that {@link #add} has dropped. */
  public long droppedReports() {
    return droppedReports;
  }

  int hostCount() {
    return reportsByHost.size();
  }
}
