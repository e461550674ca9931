package rushwood.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import rushwood.membership.GossipReports.Observation;

class GossipReportsTest {
  private static final long SECOND = 1_000_000_000L;
  private static final MemberId A = new MemberId(0x7f000001, 1);
  private static final MemberId B = new MemberId(0x7f000002, 1);
  private static final MemberId C = new MemberId(0x7f000003, 1);

  @Test
  void repeatedReportsOfOneReporterAreNoQuorum() {
    GossipReports reports = new GossipReports(5 * SECOND, 2);
    for (int i = 0; i < 10; i++) {
      reports.add(i * SECOND / 10, A, "s-1", Observation.UNREACHABLE, 0);
    }
    assertEquals(1, reports.summarize(SECOND, "s-1", Observation.UNREACHABLE).reporterCount());
    assertFalse(reports.summarize(SECOND, "s-1", Observation.UNREACHABLE).hasQuorum());
    reports.add(SECOND, B, "s-1", Observation.UNREACHABLE, SECOND / 2);
    GossipReports.Summary summary = reports.summarize(SECOND, "s-1", Observation.UNREACHABLE);
    assertTrue(summary.hasQuorum());
    assertEquals(
        SECOND / 10, summary.latestObservationAgeNanos(), "age of the most recent observation");
  }

  @Test
  void expiredReportsAreIgnoredAndRemoved() {
    GossipReports reports = new GossipReports(5 * SECOND, 1);
    reports.add(0, A, "s-1", Observation.COLD, 6 * SECOND);
    reports.add(0, B, "s-1", Observation.COLD, -1);
    assertEquals(2, reports.droppedReports());
    reports.add(0, C, "s-2", Observation.COLD, 4 * SECOND);
    assertTrue(reports.summarize(SECOND / 2, "s-2", Observation.COLD).hasQuorum());
    assertEquals(
        0,
        reports.summarize(SECOND, "s-2", Observation.COLD).reporterCount(),
        "4 s old when added, 5 s now");
    assertEquals(0, reports.hostCount());
  }

  @Test
  void retractRemovesTheReportersReports() {
    GossipReports reports = new GossipReports(5 * SECOND, 2);
    reports.add(0, A, "s-1", Observation.UNREACHABLE, 0);
    reports.add(0, B, "s-1", Observation.UNREACHABLE, 0);
    reports.retract(A, "s-1");
    assertFalse(reports.summarize(1, "s-1", Observation.UNREACHABLE).hasQuorum());
  }

  @Test
  void hostsAndReportsAreBounded() {
    GossipReports reports = new GossipReports(5 * SECOND, 1);
    for (int i = 0; i < GossipReports.MAX_HOSTS + 10; i++) {
      reports.add(0, A, "s-" + i, Observation.LAGGING, 0);
    }
    assertEquals(GossipReports.MAX_HOSTS, reports.hostCount());
    assertEquals(10, reports.droppedReports());
    for (int i = 0; i < 100; i++) {
      reports.add(0, new MemberId(i, 2), "s-0", Observation.UNREACHABLE, 0);
    }
    assertEquals(
        GossipReports.MAX_REPORTS_PER_HOST,
        reports.summarize(0, "s-0", Observation.UNREACHABLE).reporterCount());
  }
}
