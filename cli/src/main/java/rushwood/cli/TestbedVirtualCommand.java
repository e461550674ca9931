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

/**
 * {@code testbed virtual}: runs an experiment in virtual time, with overload control and without.
 */
@Command(
    name = "virtual",
    mixinStandardHelpOptions = true,
    description = "Runs an experiment in virtual time, with overload control and without.")
final class TestbedVirtualCommand implements Callable<Integer> {
  @SuppressWarnings("NullAway.Init") // set by picocli
  @Parameters(index = "0", paramLabel = "EXPERIMENT", description = "The experiment's JSON file.")
  private Path experimentFile;

  @Option(
      names = "--routers",
      split = ",",
      description =
          "Router counts to run with, separated by commas; default: the count in the file.")
  private List<Integer> requestedRouterCounts = List.of();

  @Option(
      names = "--clients",
      description = "Factor for the number of clients and for the capacity of the hosts.")
  private int loadFactor = 1;

  @Mixin private final ReportOptions report = new ReportOptions();

  @Override
  public Integer call() throws Exception {
    Experiment experiment = TestbedCommand.readExperiment(experimentFile).scaledBy(loadFactor);
    List<Integer> routerCounts =
        requestedRouterCounts.isEmpty() ? List.of(experiment.routerCount()) : requestedRouterCounts;
    Map<String, ExperimentResult> results = new LinkedHashMap<>();
    for (int routerCount : routerCounts) {
      Experiment resized = experiment.withRouters(routerCount);
      results.put(
          routerCount + " routers, with",
          Simulation.withOverloadControl(resized, OverloadSettings.DEFAULT).run());
      results.put(
          routerCount + " routers, without", Simulation.withoutOverloadControl(resized).run());
    }
    report.write(experiment.name(), results);
    return Rushwood.EXIT_SUCCESS;
  }
}
