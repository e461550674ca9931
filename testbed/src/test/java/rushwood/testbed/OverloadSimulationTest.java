package rushwood.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.testbed.ExperimentRuns.read;
import static rushwood.testbed.ExperimentRuns.simulate;
import static rushwood.testbed.ExperimentRuns.simulateWithoutOverloadControl;
import static rushwood.testbed.FigureAssertions.assertFigure;
import static rushwood.testbed.FigureAssertions.assertFigureAbove;
import static rushwood.testbed.FigureAssertions.assertFigureBelow;
import static rushwood.testbed.FigureAssertions.assertNoDuplicates;
import static rushwood.testbed.FigureAssertions.figure;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushwood.config.InvalidConfigException;
import rushwood.testbed.load.ExperimentResult;
import rushwood.testbed.load.ReportNames;
import rushwood.testbed.report.ReportWriter;

/** Overload experiments in virtual time, with overload control and without it. */
class OverloadSimulationTest {
  /** All hosts restart at once, and one of them restarts again under overload. */
  @Test
  void coldHostsStayUpAndDownHostsGetFewConnects() throws IOException, InvalidConfigException {
    ExperimentResult result = simulate(read("cold-again"));
    assertFigure(1, result, ReportNames.SHARE_SUCCEEDED);
    assertFigure(0, result, ReportNames.OVERLOAD_CRASHES);
    assertFigureBelow(1, result, ReportNames.WORST_COLD_OVERLOAD);
    assertNoDuplicates(result);
    assertFigureBelow(50 * 1.5, result, ReportNames.CONNECTS_WHILE_DOWN);
    ExperimentResult uncontrolled = simulateWithoutOverloadControl(read("cold-again"));
    assertFigureAbove(1000, uncontrolled, ReportNames.CONNECTS_WHILE_DOWN);
  }

  /** Clients that honor a long Retry-After return at a time for which capacity is reserved. */
  @Test
  void threeTriesSufficeWithReservedRetryAfter() throws IOException, InvalidConfigException {
    ExperimentResult result = simulate(read("long-waits"));
    ExperimentResult uncontrolled = simulateWithoutOverloadControl(read("long-waits"));
    assertFigure(1, result, ReportNames.SHARE_SUCCEEDED);
    assertFigureBelow(0.97, uncontrolled, ReportNames.SHARE_SUCCEEDED);
    assertFigureBelow(
        0.7 * figure(uncontrolled, ReportNames.REJECTED), result, ReportNames.REJECTED);
  }

  @Test
  void overloadOfOneGroupCausesNoRejectionsInAnother() throws IOException, InvalidConfigException {
    ExperimentResult result = simulate(read("two-groups"));
    assertFigureAbove(1000, result, ReportNames.rejectedOfGroup(0));
    String rejectedOfSecondGroup = ReportNames.rejectedOfGroup(1);
    assertFalse(
        result.figures().containsKey(rejectedOfSecondGroup), () -> "figures: " + result.figures());
  }

  /** The load doubles, but stays within the hosts' capacity. */
  @Test
  void peakWithinCapacityIsNotOverload() throws IOException, InvalidConfigException {
    ExperimentResult result = simulate(read("honest-peak"));
    assertFigure(1, result, ReportNames.SHARE_SUCCEEDED);
    assertFigure(0, result, ReportNames.REJECTED);
    assertFalse(result.timeSeries().containsKey(ReportNames.OVERLOAD_CHANGES_SERIES));
  }

  /** Hosts hang for two seconds; the clients retry immediately and ignore Retry-After. */
  @Test
  void overloadEndsSoonAfterHostsRecover() throws IOException, InvalidConfigException {
    ExperimentResult result = simulate(read("hosts-hang"));
    assertFigure(1, result, ReportNames.SHARE_SUCCEEDED);
    List<Double> goodput = result.timeSeries().get(ReportNames.GOODPUT_SERIES).values();
    double lateGoodput =
        goodput.subList(100, 140).stream().mapToDouble(Double::doubleValue).sum() / 4;
    assertTrue(
        lateGoodput > 0.97 * 800,
        lateGoodput
            + " of 800 requests per second are served five seconds after the hosts recovered");
    assertTrue(
        result.timeSeries().containsKey(ReportNames.OVERLOAD_CHANGES_SERIES),
        "no overload was detected");
    List<Double> changes = result.timeSeries().get(ReportNames.OVERLOAD_CHANGES_SERIES).values();
    assertTrue(
        changes.size() < 120,
        "the overload state still changed seven seconds after the hosts recovered");
  }

  @Test
  void sameSeedGivesSameResult() throws IOException, InvalidConfigException {
    String first = ReportWriter.toJson(simulate(read("primary-dies-2000").withRouters(3)));
    assertEquals(first, ReportWriter.toJson(simulate(read("primary-dies-2000").withRouters(3))));
  }
}
