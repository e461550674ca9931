package rushwood.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What peers said they saw of database hosts, each word with its age: a word older than the bound
 * is not used, and a host counts as seen so by the fleet only when {@code quorum} members said it
 * independently, so that one lying or stale peer cannot take a host out. Bounded in hosts and in
 * words a host; words age out at the next look.
 */
public final class GossipReports {
  /** What a member saw of a host. */
  public enum Observation {
    UNREACHABLE,
    COLD,
    DRAINING,
    PRIMARY,
    LAGGING
  }

  /** A word: who saw it, what, and when by the receiver's clock (its age at sending taken off). */
  private record Report(MemberId reporter, Observation observation, long observedAt) {}

  // Hosts a tier has: up to 1,024 are to be borne; twice that guards against a list that changes as
  // it grows.
  static final int MAX_ENDPOINTS = 2048;
  // Words kept a host: a quorum of a tier of 100 needs some; more than the tier's size says nothing
  // new.
  static final int MAX_REPORTS_PER_ENDPOINT = 32;

  private final Map<String, Deque<Report>> reportsByEndpoint = new TreeMap<>();
  private final long maxAgeNanos;
  private final int quorum;
  private long droppedReports;

  /**
   * Words older than {@code oldest} nanoseconds are not used; {@code quorum} members make the
   * fleet's word.
   */
  public GossipReports(long maxAgeNanos, int quorum) {
    if (maxAgeNanos <= 0 || quorum < 1) {
      throw new IllegalArgumentException(
          "fleet.knowledge: oldest above zero and a quorum of 1 at least");
    }
    this.maxAgeNanos = maxAgeNanos;
    this.quorum = quorum;
  }

  /**
   * {@code by} said at {@code now} that it saw {@code seen} of {@code host} {@code age} nanoseconds
   * ago.
   */
  public void add(
      long now, MemberId reporter, String endpoint, Observation observation, long ageNanos) {
    if (ageNanos < 0 || ageNanos >= maxAgeNanos) {
      droppedReports++;
      return; // a word from the future or too old is worth nothing
    }
    Deque<Report> reports = reportsByEndpoint.get(endpoint);
    if (reports == null) {
      if (reportsByEndpoint.size() >= MAX_ENDPOINTS) {
        droppedReports++;
        return;
      }
      reports = new ArrayDeque<>();
      reportsByEndpoint.put(endpoint, reports);
    }
    reports.removeIf(
        report -> report.reporter().equals(reporter) && report.observation() == observation);
    reports.addLast(new Report(reporter, observation, now - ageNanos));
    if (reports.size() > MAX_REPORTS_PER_ENDPOINT) {
      reports.removeFirst();
    }
  }

  /**
   * How many members saw {@code seen} of the host within the bound, and the youngest word's age;
   * none is 0. Reading is also what forgets: words older than the bound are removed here, so a host
   * asked about is never held with stale words, and one never asked about is held by {@link
   * #MOST_WORDS} at most.
   */
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

  /** A word is taken back: the member saw the host well, and what it said before stands no more. */
  public void retract(MemberId reporter, String endpoint) {
    Deque<Report> reports = reportsByEndpoint.get(endpoint);
    if (reports != null) {
      reports.removeIf(
          report ->
              report.reporter().equals(reporter) && report.observation() != Observation.PRIMARY);
    }
  }

  /** Words refused: too old, from the future, or for a host past the bound. */
  public long droppedReports() {
    return droppedReports;
  }

  int endpointCount() {
    return reportsByEndpoint.size();
  }

  /**
   * What the fleet says of one host: by how many members, the youngest word's age, whether that is
   * a quorum.
   */
  public record Summary(int reporters, long youngestAgeNanos, boolean hasQuorum) {
    static final Summary NONE = new Summary(0, Long.MAX_VALUE, false);
  }
}
