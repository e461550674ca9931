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

/**
 * {@code testbed run}: runs an experiment on sockets, once for each combination of jar and
 * settings.
 */
@Command(
    name = "run",
    mixinStandardHelpOptions = true,
    description =
        "Runs an experiment on sockets, once for each combination of --jar and --settings.")
final class TestbedRunCommand implements Callable<Integer> {
  @SuppressWarnings("NullAway.Init") // set by picocli
  @Parameters(index = "0", paramLabel = "EXPERIMENT", description = "The experiment's JSON file.")
  private Path experimentFile;

  @Option(
      names = "--jar",
      paramLabel = "[LABEL=]JAR",
      description = "The router's jar; repeat to compare several.")
  private List<String> jarArguments = List.of("router/target/rushwood.jar");

  @Option(
      names = "--settings",
      paramLabel = "[LABEL=]FILE",
      description = "Operator settings file; repeat to compare several.")
  private List<String> settingsArguments = List.of("");

  @Option(
      names = "--cpus",
      description = "Cores that the router may use, as a CPU list of taskset; default: all.")
  private String cpus = "";

  @Option(names = "--flag", description = "JVM flag of the router; may be repeated.")
  private List<String> jvmFlags = List.of();

  @Mixin private final ReportOptions report = new ReportOptions();

  @Override
  public Integer call() throws Exception {
    Experiment experiment = TestbedCommand.readExperiment(experimentFile);
    Map<String, ExperimentResult> results = new LinkedHashMap<>();
    for (String jar : jarArguments) {
      for (String settings : settingsArguments) {
        RouterProcess.LaunchOptions options =
            new RouterProcess.LaunchOptions(existingJar(jar), jvmFlags, valueOf(settings), cpus);
        String label = labelOf(jar) + (settingsArguments.size() > 1 ? " " + labelOf(settings) : "");
        results.put(label, new SocketExperiment(experiment, options).run());
      }
    }
    report.write(experiment.name(), results);
    return Rushwood.EXIT_SUCCESS;
  }

  private static Path existingJar(String argument) throws InvalidInputException {
    Path jar = Path.of(valueOf(argument));
    if (!Files.exists(jar)) {
      throw new InvalidInputException("--jar: " + jar + " does not exist");
    }
    return jar;
  }

  /** Returns the label of {@code LABEL=VALUE}, or the whole argument if it has no label. */
  private static String labelOf(String argument) {
    int equals = argument.indexOf('=');
    return equals < 0 ? argument : argument.substring(0, equals);
  }

  private static String valueOf(String argument) {
    return argument.substring(argument.indexOf('=') + 1);
  }
}
