package rushwood.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rushwood.config.InvalidConfigException;
import rushwood.overload.OverloadSettings;
import rushwood.testbed.load.Experiment;
import rushwood.testbed.load.ExperimentResult;
import rushwood.testbed.load.SocketExperiment;
import rushwood.testbed.report.ReportWriter;
import rushwood.testbed.simulation.Simulation;

/**
 * The hard cases of storms, played by the laboratory: in virtual time with and without the module,
 * and on sockets.
 */
class OverloadExperimentTest {
  private static Experiment read(String name) throws IOException {
    return Experiment.read(Path.of("experiments", name + ".json"));
  }

  private static ExperimentResult with(Experiment experiment) throws InvalidConfigException {
    return new Simulation(experiment, OverloadSettings.DEFAULT).run();
  }

  private static ExperimentResult without(Experiment experiment) throws InvalidConfigException {
    return new Simulation(experiment, null).run();
  }

  private static double figure(ExperimentResult result, String name) {
    return result.figures().get(name);
  }

  /**
   * All hosts restart at once, and one again under the storm: each stays up, and is not dialled in
   * vain.
   */
  @Test
  void coldAndAgain() throws IOException, InvalidConfigException {
    ExperimentResult with = with(read("cold-again"));
    assertEquals(1, figure(with, "share_fulfilled"));
    assertEquals(0, figure(with, "falls"));
    assertTrue(figure(with, "worst_cold_push") < 1);
    assertEquals(0, figure(with, "doubled_tries") + figure(with, "doubled_writes"));
    assertTrue(figure(with, "dials_at_hosts_down") < 50 * 1.5);
    assertTrue(
        figure(without(read("cold-again")), "dials_at_hosts_down") > 1000, "so it is without");
  }

  /**
   * Clients that honour long waits come when there is room for them: three tries do, which else do
   * not.
   */
  @Test
  void bookedReturns() throws IOException, InvalidConfigException {
    ExperimentResult with = with(read("long-waits"));
    ExperimentResult without = without(read("long-waits"));
    assertEquals(1, figure(with, "share_fulfilled"));
    assertTrue(figure(without, "share_fulfilled") < 0.97);
    assertTrue(figure(with, "turned_back") < 0.7 * figure(without, "turned_back"));
  }

  /** One group storms: nobody of the other one is turned back. */
  @Test
  void calmGroupBesideAStorm() throws IOException, InvalidConfigException {
    ExperimentResult with = with(read("two-groups"));
    assertTrue(figure(with, "turned_back_of_group_0") > 1000);
    assertFalse(with.figures().containsKey("turned_back_of_group_1"));
  }

  /** An honest peak of twice the usual load: no storm is seen, nobody is turned back. */
  @Test
  void honestPeak() throws IOException, InvalidConfigException {
    ExperimentResult with = with(read("honest-peak"));
    assertEquals(1, figure(with, "share_fulfilled"));
    assertEquals(0, figure(with, "turned_back"));
    assertFalse(with.timeSeries().containsKey("changes of weather"));
  }

  /**
   * Hosts hang for two seconds, clients repeat at once and ignore waits: it is over soon after, by
   * itself.
   */
  @Test
  void noMetastableState() throws IOException, InvalidConfigException {
    ExperimentResult with = with(read("hosts-hang"));
    assertEquals(1, figure(with, "share_fulfilled"));
    List<Double> goodput = with.timeSeries().get("goodput").values();
    double late = goodput.subList(100, 140).stream().mapToDouble(each -> each).sum() / 4;
    assertTrue(
        late > 0.97 * 800,
        late + " a second of 800 that come, five seconds after the end of the cause");
    assertTrue(with.timeSeries().containsKey("changes of weather"), "it was seen");
    List<Double> changes = with.timeSeries().get("changes of weather").values();
    assertTrue(changes.size() < 120, "the last change, to calm, within seven seconds of the end");
  }

  @Test
  void sameSeedSameRun() throws IOException, InvalidConfigException {
    String once = ReportWriter.toJson(with(read("primary-dies-2000").withRouters(3)));
    assertEquals(once, ReportWriter.toJson(with(read("primary-dies-2000").withRouters(3))));
  }

  @Test
  void badFilesAreToldByField() {
    String head = "{\"name\":\"a\",\"seed\":1,\"lasts\":";
    String rest =
        ",\"hosts\":[{\"id\":\"a\",\"rate\":1}],\"clients\":[{\"count\":1,\"product\":\"pay\",\"over\":1,"
            + "\"tries\":1,\"manners\":\"polite\",\"outer\":1}]}";
    for (Map.Entry<String, String> each :
        Map.of("{}", "required", head + 0 + rest, "lasts", "[", "no JSON").entrySet()) {
      IOException bad = assertThrows(IOException.class, () -> Experiment.read(each.getKey()));
      assertTrue(bad.getMessage().contains(each.getValue()), bad.getMessage());
      assertEquals(1, bad.getMessage().lines().count());
    }
  }

  private static ExperimentResult onSockets(String name) throws Exception {
    return new SocketExperiment(
            read(name),
            new SocketExperiment.RouterBuild(
                Path.of("../router/target/rushwood.jar"),
                List.of("-XX:+UseSerialGC", "-Xmx64m"),
                "",
                ""))
        .run();
  }

  /** The same while discovery says nothing: roles come from the hosts, and all are served. */
  @Test
  void theListIsSilent() throws Exception {
    ExperimentResult result = onSockets("list-silent");
    assertEquals(1, figure(result, "crowd0.share_fulfilled"), ReportWriter.toJson(result));
    assertEquals(1, figure(result, "crowd1.share_fulfilled"), ReportWriter.toJson(result));
    assertEquals(0, figure(result, "doubled_tries") + figure(result, "doubled_writes"));
  }

  /**
   * SIGTERM in the middle of it: whatever was taken has its one answer, nothing is doubled, the
   * rest is let down.
   */
  @Test
  void stoppedInTheStorm() throws Exception {
    ExperimentResult result = onSockets("stopped-in-storm");
    String all = ReportWriter.toJson(result);
    assertEquals(0, figure(result, "crowd0.tries_without_answer"), all);
    assertEquals(0, figure(result, "crowd1.in_doubt"), all);
    assertEquals(
        0,
        figure(result, "crowd0.answers_too_many") + figure(result, "crowd1.answers_too_many"),
        all);
    assertEquals(
        0,
        figure(result, "doubled_tries")
            + figure(result, "doubled_writes")
            + figure(result, "untrue_answers"),
        all);
    assertTrue(figure(result, "crowd0.share_fulfilled") > 0.3, all);
  }

  /** 2,000 clients within a second on sockets while the primary dies and comes back cold. */
  @Test
  void twoThousandOnSockets() throws Exception {
    ExperimentResult result =
        new SocketExperiment(
                read("primary-dies-2000"),
                new SocketExperiment.RouterBuild(
                    Path.of("../router/target/rushwood.jar"),
                    List.of("-XX:+UseSerialGC", "-Xmx64m"),
                    "",
                    ""))
            .run();
    String all = ReportWriter.toJson(result);
    for (String crowd : List.of("crowd0", "crowd1")) {
      assertEquals(1, figure(result, crowd + ".share_fulfilled"), all);
      assertEquals(0, figure(result, crowd + ".closed_though_told_to_return"), all);
      assertEquals(0, figure(result, crowd + ".answers_too_many"), all);
    }
    assertEquals(
        0,
        figure(result, "doubled_tries")
            + figure(result, "doubled_writes")
            + figure(result, "untrue_answers"),
        all);
    assertTrue(figure(result, "h1.worst_cold_push") < 1, all);
    assertTrue(result.counters().get("connections_failed") < 50, all);
    assertTrue(ReportWriter.toHtml("a", Map.of("a", result)).contains("goodput"));
  }
}
