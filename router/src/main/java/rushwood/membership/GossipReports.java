package rushwood.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What peers reported of database hosts, each report with its age. A report beyond the maximum age
 * is not used, and an observation counts only if a quorum of members reported it independently, so
 * that one faulty or outdated peer cannot take a host out of service. The number of hosts and of
 * reports for each is bounded; expired reports are removed when their host is looked up.
 */
public final class GossipReports {
  /** Deployments have up to 1,024 hosts; twice that leaves room while a list changes. */
  static final int MAX_ENDPOINTS = 2048;

  /** A quorum in a deployment of 100 routers needs fewer. */
  static final int MAX_REPORTS_PER_ENDPOINT = 32;

  /** What a member saw of a host. */
  public enum Observation {
    /** It takes no connections. */
    UNREACHABLE,
    /** It has started a short time ago and is slow. */
    COLD,
    /** It is about to leave. */
    DRAINING,
    /** It takes the writes of its group. */
    PRIMARY,
    /** It is a replica far behind its primary. */
    LAGGING
  }

  /** {@code observedAt}: by the receiver's clock, the age at sending taken off. */
  private record Report(MemberId reporter, Observation observation, long observedAt) {}

  /**
   * The reports of one observation.
   *
   * @param reporters how many members made it
   * @param youngestAgeNanos of the latest report; {@link Long#MAX_VALUE} if there is none
   * @param hasQuorum whether the reporters are enough to act on
   */
  public record Summary(int reporters, long youngestAgeNanos, boolean hasQuorum) {
    static final Summary NONE = new Summary(0, Long.MAX_VALUE, false);
  }

  private final Map<String, Deque<Report>> reportsByEndpoint = new TreeMap<>();
  private final long maxAgeNanos;
  private final int quorum;
  private long droppedReports;

  /**
   * Creates an empty collection.
   *
   * @param maxAgeNanos age from which a report is not used; above zero
   * @param quorum how many members have to report the same; 1 at least
   * @throws InvalidSettingException for a parameter outside its bounds
   */
  public GossipReports(long maxAgeNanos, int quorum) {
    if (maxAgeNanos <= 0) {
      throw new InvalidSettingException("maxAgeNanos", "must be above zero");
    }
    if (quorum < 1) {
      throw new InvalidSettingException("quorum", "must be 1 at least");
    }
    this.maxAgeNanos = maxAgeNanos;
    this.quorum = quorum;
  }

  /**
   * Adds a report, in place of an earlier one of the same reporter and observation. It is dropped
   * and counted if it is too old, if its age is negative, or if there are too many hosts.
   *
   * @param ageNanos how long before {@code now} the observation was made
   */
  public void add(
      long now, MemberId reporter, String endpoint, Observation observation, long ageNanos) {
    boolean hasRoom =
        reportsByEndpoint.containsKey(endpoint) || reportsByEndpoint.size() < MAX_ENDPOINTS;
    if (ageNanos < 0 || ageNanos >= maxAgeNanos || !hasRoom) {
      droppedReports++;
      return;
    }
    Deque<Report> reports =
        reportsByEndpoint.computeIfAbsent(endpoint, absent -> new ArrayDeque<>());
    reports.removeIf(
        report -> report.reporter().equals(reporter) && report.observation() == observation);
    reports.addLast(new Report(reporter, observation, now - ageNanos));
    if (reports.size() > MAX_REPORTS_PER_ENDPOINT) {
      reports.removeFirst();
    }
  }

  /** Summarizes the reports of one observation, and removes the host's expired reports. */
  public Summary summarize(long now, String endpoint, Observation observation) {
    Deque<Report> reports = reportsByEndpoint.get(endpoint);
    if (reports == null) {
      return Summary.NONE;
    }
    reports.removeIf(report -> now - report.observedAt() >= maxAgeNanos);
    if (reports.isEmpty()) {
      reportsByEndpoint.remove(endpoint);
      return Summary.NONE;
    }
    TreeSet<MemberId> reporters = new TreeSet<>();
    long youngestAge = Long.MAX_VALUE;
    for (Report report : reports) {
      if (report.observation() == observation) {
        reporters.add(report.reporter());
        youngestAge = Math.min(youngestAge, now - report.observedAt());
      }
    }
    return reporters.isEmpty()
        ? Summary.NONE
        : new Summary(reporters.size(), youngestAge, reporters.size() >= quorum);
  }

  /**
   * A reporter has found a host healthy: removes what it reported of the host, except that it is
   * the primary.
   */
  public void retract(MemberId reporter, String endpoint) {
    Deque<Report> reports = reportsByEndpoint.get(endpoint);
    if (reports != null) {
      reports.removeIf(
          report ->
              report.reporter().equals(reporter) && report.observation() != Observation.PRIMARY);
    }
  }

  /** How many reports were not added. */
  public long droppedReports() {
    return droppedReports;
  }

  int endpointCount() {
    return reportsByEndpoint.size();
  }
}
