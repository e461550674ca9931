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

/** Hard cases of overload in virtual time, with overload control and without it. */
class OverloadSimulationTest {
  /** All hosts restart at once, and one again under overload. */
  @Test
  void coldHostsStayUpAndHostsThatAreDownGetFewConnects()
      throws IOException, InvalidConfigException {
    ExperimentResult result = simulate(read("cold-again"));
    assertFigure(1, result, ReportNames.SHARE_SUCCEEDED);
    assertFigure(0, result, ReportNames.OVERLOAD_CRASHES);
    assertFigureBelow(1, result, ReportNames.WORST_COLD_OVERLOAD);
    assertNoDuplicates(result);
    assertFigureBelow(50 * 1.5, result, ReportNames.CONNECTS_WHILE_DOWN);
    ExperimentResult uncontrolled = simulateWithoutOverloadControl(read("cold-again"));
    assertFigureAbove(1000, uncontrolled, ReportNames.CONNECTS_WHILE_DOWN);
  }

  /** Clients that honor a long Retry-After come back when there is room for them. */
  @Test
  void threeTriesSufficeWithReservedReturns() throws IOException, InvalidConfigException {
    ExperimentResult result = simulate(read("long-waits"));
    ExperimentResult uncontrolled = simulateWithoutOverloadControl(read("long-waits"));
    assertFigure(1, result, ReportNames.SHARE_SUCCEEDED);
    assertFigureBelow(0.97, uncontrolled, ReportNames.SHARE_SUCCEEDED);
    assertFigureBelow(
        0.7 * figure(uncontrolled, ReportNames.REJECTED), result, ReportNames.REJECTED);
  }

  @Test
  void groupBesideAnOverloadedOneHasNoRejections() throws IOException, InvalidConfigException {
    ExperimentResult result = simulate(read("two-groups"));
    assertFigureAbove(1000, result, ReportNames.rejectedOfGroup(0));
    String rejectedOfOther = ReportNames.rejectedOfGroup(1);
    assertFalse(
        result.figures().containsKey(rejectedOfOther), () -> "figures: " + result.figures());
  }

  /** Twice the usual load, which the hosts bear. */
  @Test
  void peakWithinCapacityIsNoOverload() throws IOException, InvalidConfigException {
    ExperimentResult result = simulate(read("honest-peak"));
    assertFigure(1, result, ReportNames.SHARE_SUCCEEDED);
    assertFigure(0, result, ReportNames.REJECTED);
    assertFalse(result.timeSeries().containsKey(ReportNames.OVERLOAD_CHANGES_SERIES));
  }

  /** Hosts hang for two seconds; clients retry at once and ignore Retry-After. */
  @Test
  void overloadEndsSoonAfterItsCause() throws IOException, InvalidConfigException {
    ExperimentResult result = simulate(read("hosts-hang"));
    assertFigure(1, result, ReportNames.SHARE_SUCCEEDED);
    List<Double> goodput = result.timeSeries().get(ReportNames.GOODPUT_SERIES).values();
    double late = goodput.subList(100, 140).stream().mapToDouble(Double::doubleValue).sum() / 4;
    assertTrue(
        late > 0.97 * 800,
        late + " a second of 800 that come, five seconds after the end of the cause");
    assertTrue(
        result.timeSeries().containsKey(ReportNames.OVERLOAD_CHANGES_SERIES), "it was detected");
    List<Double> changes = result.timeSeries().get(ReportNames.OVERLOAD_CHANGES_SERIES).values();
    assertTrue(changes.size() < 120, "the last change, to normal, within seven seconds of the end");
  }

  @Test
  void sameSeedGivesTheSameResult() throws IOException, InvalidConfigException {
    String first = ReportWriter.toJson(simulate(read("primary-dies-2000").withRouters(3)));
    assertEquals(first, ReportWriter.toJson(simulate(read("primary-dies-2000").withRouters(3))));
  }
}
