package rushwood.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.testbed.ExperimentRuns.duplicates;
import static rushwood.testbed.ExperimentRuns.figure;
import static rushwood.testbed.ExperimentRuns.read;
import static rushwood.testbed.ExperimentRuns.simulate;
import static rushwood.testbed.ExperimentRuns.simulateWithoutOverloadControl;

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
  void coldHostsStayUpAndAreNotConnectedToInVain() throws IOException, InvalidConfigException {
    ExperimentResult result = simulate(read("cold-again"));
    assertEquals(1, figure(result, "share_fulfilled"));
    assertEquals(0, figure(result, "falls"));
    assertTrue(figure(result, "worst_cold_push") < 1);
    assertEquals(0, duplicates(result));
    assertTrue(figure(result, "dials_at_hosts_down") < 50 * 1.5);
    ExperimentResult uncontrolled = simulateWithoutOverloadControl(read("cold-again"));
    assertTrue(figure(uncontrolled, "dials_at_hosts_down") > 1000, "so it is without");
  }

  /** Clients that honor a long Retry-After come back when there is room for them. */
  @Test
  void threeTriesSufficeWithReservedReturns() throws IOException, InvalidConfigException {
    ExperimentResult result = simulate(read("long-waits"));
    ExperimentResult uncontrolled = simulateWithoutOverloadControl(read("long-waits"));
    assertEquals(1, figure(result, "share_fulfilled"));
    assertTrue(figure(uncontrolled, "share_fulfilled") < 0.97);
    assertTrue(figure(result, "turned_back") < 0.7 * figure(uncontrolled, "turned_back"));
  }

  @Test
  void groupBesideAnOverloadedOneHasNoRejections() throws IOException, InvalidConfigException {
    ExperimentResult result = simulate(read("two-groups"));
    assertTrue(figure(result, "turned_back_of_group_0") > 1000);
    assertFalse(result.figures().containsKey("turned_back_of_group_1"));
  }

  /** Twice the usual load, which the hosts bear. */
  @Test
  void peakWithinCapacityIsNoOverload() throws IOException, InvalidConfigException {
    ExperimentResult result = simulate(read("honest-peak"));
    assertEquals(1, figure(result, "share_fulfilled"));
    assertEquals(0, figure(result, "turned_back"));
    assertFalse(result.timeSeries().containsKey(ReportNames.OVERLOAD_CHANGES_SERIES));
  }

  /** Hosts hang for two seconds; clients retry at once and ignore Retry-After. */
  @Test
  void overloadEndsSoonAfterItsCause() throws IOException, InvalidConfigException {
    ExperimentResult result = simulate(read("hosts-hang"));
    assertEquals(1, figure(result, "share_fulfilled"));
    List<Double> goodput = result.timeSeries().get("goodput").values();
    double late = goodput.subList(100, 140).stream().mapToDouble(each -> each).sum() / 4;
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
