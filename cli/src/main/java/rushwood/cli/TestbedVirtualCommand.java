package rushwood.cli;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rushwood.overload.OverloadSettings;
import rushwood.testbed.load.Experiment;
import rushwood.testbed.load.ExperimentResult;
import rushwood.testbed.simulation.Simulation;

/** {@code testbed virtual}: an experiment in virtual time, with overload control and without it. */
@Command(
    name = "virtual",
    mixinStandardHelpOptions = true,
    description = "Plays an experiment in virtual time, with overload control and without it.")
final class TestbedVirtualCommand implements Callable<Integer> {
  @SuppressWarnings("NullAway.Init") // set by picocli
  @Parameters(index = "0", paramLabel = "EXPERIMENT", description = "The experiment's JSON file.")
  private Path experimentFile;

  @Option(
      names = "--routers",
      split = ",",
      description = "Numbers of routers instead of the file's.")
  private List<Integer> routerCounts = List.of();

  @Option(
      names = "--clients",
      description = "How many times the file's clients there are, hosts' rates too.")
  private int clientFactor = 1;

  @Mixin private final ReportOptions report = new ReportOptions();

  @Override
  public Integer call() throws Exception {
    Experiment experiment = TestbedCommand.readExperiment(experimentFile).scaledBy(clientFactor);
    List<Integer> counts =
        routerCounts.isEmpty() ? List.of(experiment.routerCount()) : routerCounts;
    Map<String, ExperimentResult> results = new LinkedHashMap<>();
    for (int count : counts) {
      Experiment sized = experiment.withRouters(count);
      results.put(
          count + " routers, with",
          Simulation.withOverloadControl(sized, OverloadSettings.DEFAULT).run());
      results.put(count + " routers, without", Simulation.withoutOverloadControl(sized).run());
    }
    report.write(experiment.name(), results);
    return Rushwood.EXIT_DONE;
  }
}
