package rushwood.testbed;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.testbed.ExperimentRuns.read;
import static rushwood.testbed.ExperimentRuns.runOnSockets;
import static rushwood.testbed.FigureAssertions.assertFigure;
import static rushwood.testbed.FigureAssertions.assertFigureAbove;
import static rushwood.testbed.FigureAssertions.assertFigureBelow;
import static rushwood.testbed.FigureAssertions.assertNoDuplicates;
import static rushwood.testbed.load.ReportNames.ofPopulation;

import java.util.Map;
import org.junit.jupiter.api.Test;
import rushwood.testbed.load.ExperimentResult;
import rushwood.testbed.load.ReportNames;
import rushwood.testbed.report.ReportWriter;

/** Overload experiments on sockets against a router process. */
class OverloadOnSocketsTest {
  /** The router learns the hosts' roles from the hosts while discovery sends no changes. */
  @Test
  void everyClientIsServedWhileDiscoveryIsSilent() throws Exception {
    ExperimentResult result = runOnSockets(read("list-silent"));
    assertFigure(1, result, ofPopulation(0, ReportNames.SHARE_SUCCEEDED));
    assertFigure(1, result, ofPopulation(1, ReportNames.SHARE_SUCCEEDED));
    assertNoDuplicates(result);
  }

  /**
   * SIGTERM during overload: each accepted request gets exactly one answer, others are rejected.
   */
  @Test
  void routerStopsInOrderUnderOverload() throws Exception {
    ExperimentResult result = runOnSockets(read("stopped-in-storm"));
    assertFigure(0, result, ofPopulation(0, ReportNames.UNANSWERED_TRIES));
    assertFigure(0, result, ofPopulation(1, ReportNames.OUTCOME_UNKNOWN));
    assertFigure(0, result, ofPopulation(0, ReportNames.SURPLUS_ANSWERS));
    assertFigure(0, result, ofPopulation(1, ReportNames.SURPLUS_ANSWERS));
    assertNoDuplicates(result);
    assertFigure(0, result, ReportNames.FALSE_SUCCESSES);
    assertFigureAbove(0.3, result, ofPopulation(0, ReportNames.SHARE_SUCCEEDED));
  }

  /** 2,000 clients arrive within a second while the primary crashes and restarts cold. */
  @Test
  void twoThousandClientsAreServedWhileThePrimaryRestarts() throws Exception {
    ExperimentResult result = runOnSockets(read("primary-dies-2000"));
    for (int population = 0; population < 2; population++) {
      assertFigure(1, result, ofPopulation(population, ReportNames.SHARE_SUCCEEDED));
      assertFigure(0, result, ofPopulation(population, ReportNames.CLOSED_DESPITE_RETRY_AFTER));
      assertFigure(0, result, ofPopulation(population, ReportNames.SURPLUS_ANSWERS));
    }
    assertNoDuplicates(result);
    assertFigure(0, result, ReportNames.FALSE_SUCCESSES);
    assertFigureBelow(1, result, ReportNames.ofHost("h1", ReportNames.WORST_COLD_OVERLOAD));
    assertTrue(
        result.counters().get("connections_failed") < 50, () -> "counters: " + result.counters());
    String html = ReportWriter.toHtml("a", Map.of("a", result));
    assertTrue(html.contains(ReportNames.GOODPUT_SERIES), html);
  }
}
