package rushwood.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rushwood.testbed.load.Experiment;
import rushwood.testbed.load.ExperimentResult;
import rushwood.testbed.load.SocketExperiment;
import rushwood.testbed.standin.RouterProcess;

/** {@code testbed run}: an experiment on sockets, once for each combination of jar and settings. */
@Command(
    name = "run",
    mixinStandardHelpOptions = true,
    description =
        "Plays an experiment on sockets, once for each build or settings file that is compared.")
final class TestbedRunCommand implements Callable<Integer> {
  @SuppressWarnings("NullAway.Init") // set by picocli
  @Parameters(index = "0", paramLabel = "EXPERIMENT", description = "The experiment's JSON file.")
  private Path experimentFile;

  @Option(
      names = "--jar",
      paramLabel = "[LABEL=]JAR",
      description = "A router's jar; several are compared.")
  private List<String> jars = List.of("router/target/rushwood.jar");

  @Option(
      names = "--settings",
      paramLabel = "[LABEL=]FILE",
      description = "Operator's settings; several too.")
  private List<String> settings = List.of("");

  @Option(names = "--cpus", description = "Cores that the router may use, as taskset has it.")
  private String cpus = "";

  @Option(names = "--flag", description = "A flag of the router's virtual machine.")
  private List<String> flags = List.of();

  @Mixin private final ReportOptions report = new ReportOptions();

  @Override
  public Integer call() throws Exception {
    Experiment experiment = TestbedCommand.readExperiment(experimentFile);
    Map<String, ExperimentResult> results = new LinkedHashMap<>();
    for (String jar : jars) {
      for (String settingsFile : settings) {
        RouterProcess.Build build =
            new RouterProcess.Build(existingJar(jar), flags, valueOf(settingsFile), cpus);
        String label = labelOf(jar) + (settings.size() > 1 ? " " + labelOf(settingsFile) : "");
        results.put(label, new SocketExperiment(experiment, build).run());
      }
    }
    report.write(experiment.name(), results);
    return Rushwood.EXIT_DONE;
  }

  private static Path existingJar(String argument) throws InvalidInputException {
    Path jar = Path.of(valueOf(argument));
    if (!Files.exists(jar)) {
      throw new InvalidInputException("--jar: " + jar + " does not exist");
    }
    return jar;
  }

  /** The label of {@code LABEL=VALUE}, or the value itself where none is given. */
  private static String labelOf(String argument) {
    int equals = argument.indexOf('=');
    return equals < 0 ? argument : argument.substring(0, equals);
  }

  private static String valueOf(String argument) {
    return argument.substring(argument.indexOf('=') + 1);
  }
}
