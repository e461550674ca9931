package rushwood.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.testbed.ExperimentRuns.duplicates;
import static rushwood.testbed.ExperimentRuns.figure;
import static rushwood.testbed.ExperimentRuns.read;
import static rushwood.testbed.ExperimentRuns.runOnSockets;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rushwood.testbed.load.ExperimentResult;
import rushwood.testbed.report.ReportWriter;

/** Hard cases of overload on sockets, against a router in a process of its own. */
class OverloadOnSocketsTest {
  /** Roles come from the hosts where discovery says nothing. */
  @Test
  void everyClientIsServedWhileDiscoveryIsSilent() throws Exception {
    ExperimentResult result = runOnSockets(read("list-silent"));
    assertEquals(1, figure(result, "crowd0.share_fulfilled"), ReportWriter.toJson(result));
    assertEquals(1, figure(result, "crowd1.share_fulfilled"), ReportWriter.toJson(result));
    assertEquals(0, duplicates(result));
  }

  /** SIGTERM during overload: what was accepted has its one answer, the rest is rejected. */
  @Test
  void routerStopsInOrderUnderOverload() throws Exception {
    ExperimentResult result = runOnSockets(read("stopped-in-storm"));
    String report = ReportWriter.toJson(result);
    assertEquals(0, figure(result, "crowd0.tries_without_answer"), report);
    assertEquals(0, figure(result, "crowd1.in_doubt"), report);
    assertEquals(
        0,
        figure(result, "crowd0.answers_too_many") + figure(result, "crowd1.answers_too_many"),
        report);
    assertEquals(0, duplicates(result) + figure(result, "untrue_answers"), report);
    assertTrue(figure(result, "crowd0.share_fulfilled") > 0.3, report);
  }

  /** 2,000 clients within a second while the primary crashes and comes back cold. */
  @Test
  void twoThousandClientsAreServedWhileThePrimaryRestarts() throws Exception {
    ExperimentResult result = runOnSockets(read("primary-dies-2000"));
    String report = ReportWriter.toJson(result);
    for (String population : List.of("crowd0", "crowd1")) {
      assertEquals(1, figure(result, population + ".share_fulfilled"), report);
      assertEquals(0, figure(result, population + ".closed_though_told_to_return"), report);
      assertEquals(0, figure(result, population + ".answers_too_many"), report);
    }
    assertEquals(0, duplicates(result) + figure(result, "untrue_answers"), report);
    assertTrue(figure(result, "h1.worst_cold_push") < 1, report);
    assertTrue(result.counters().get("connections_failed") < 50, report);
    assertTrue(ReportWriter.toHtml("a", Map.of("a", result)).contains("goodput"));
  }
}
