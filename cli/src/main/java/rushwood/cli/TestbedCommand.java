package rushwood.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import rushwood.overload.OverloadSettings;
import rushwood.testbed.load.Experiment;
import rushwood.testbed.load.ExperimentResult;
import rushwood.testbed.load.SocketExperiment;
import rushwood.testbed.report.ReportWriter;
import rushwood.testbed.simulation.Simulation;

/** The laboratory: experiments on loopback. */
@Command(
    name = "lab",
    mixinStandardHelpOptions = true,
    description = "Experiments against stand-ins on loopback.",
    subcommands = {TestbedCommand.RunCommand.class, TestbedCommand.VirtualCommand.class})
final class TestbedCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a sub-command is missing");
  }

  static Experiment readExperiment(Path file) throws Rushwood.InvalidInputException {
    try {
      return Experiment.read(file);
    } catch (IOException e) {
      throw new Rushwood.InvalidInputException(file + ": " + e.getMessage());
    }
  }

  @Command(
      name = "run",
      mixinStandardHelpOptions = true,
      description =
          "Plays an experiment on sockets, once for each build or settings file that is compared.")
  static final class RunCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "EXPERIMENT", description = "The experiment's JSON file.")
    private Path experiment;

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

    @Mixin private ReportOptions report;

    @Override
    public Integer call() throws Exception {
      Experiment read = readExperiment(experiment);
      Map<String, ExperimentResult> results = new LinkedHashMap<>();
      for (String jar : jars) {
        for (String each : settings) {
          Path file = Path.of(valueOf(jar));
          if (!Files.exists(file)) {
            throw new Rushwood.InvalidInputException("--jar: " + file + " does not exist");
          }
          String label = labelOf(jar) + (settings.size() > 1 ? " " + labelOf(each) : "");
          results.put(
              label,
              new SocketExperiment(
                      read, new SocketExperiment.RouterBuild(file, flags, valueOf(each), cpus))
                  .run());
        }
      }
      report.write(read.name(), results);
      return 0;
    }
  }

  @Command(
      name = "virtual",
      mixinStandardHelpOptions = true,
      description = "Plays an experiment in virtual time, with the storm module and without it.")
  static final class VirtualCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "EXPERIMENT", description = "The experiment's JSON file.")
    private Path experiment;

    @Option(
        names = "--routers",
        split = ",",
        description = "Numbers of routers instead of the file's.")
    private List<Integer> routers = List.of();

    @Option(
        names = "--clients",
        description = "How many times the file's clients there are, hosts' rates too.")
    private int times = 1;

    @Mixin private ReportOptions report;

    @Override
    public Integer call() throws Exception {
      Experiment read = readExperiment(experiment).scaledBy(times);
      Map<String, ExperimentResult> results = new LinkedHashMap<>();
      for (int each : routers.isEmpty() ? List.of(read.routerCount()) : routers) {
        Experiment sized = read.withRouters(each);
        results.put(each + " routers, with", new Simulation(sized, OverloadSettings.DEFAULT).run());
        results.put(each + " routers, without", new Simulation(sized, null).run());
      }
      report.write(read.name(), results);
      return 0;
    }
  }

  private static String labelOf(String given) {
    int equals = given.indexOf('=');
    return equals < 0 ? given : given.substring(0, equals);
  }

  private static String valueOf(String given) {
    return given.substring(given.indexOf('=') + 1);
  }

  /** Where results go. */
  static final class ReportOptions {
    @Option(names = "--json", description = "Where the results go as JSON; - for standard output.")
    private String json;

    @Option(names = "--html", description = "Where a report with plots goes.")
    private Path html;

    /** Prints the figures, and writes what was asked for. */
    void write(String name, Map<String, ExperimentResult> results) throws IOException {
      List<String> documents = new ArrayList<>();
      for (Map.Entry<String, ExperimentResult> each : results.entrySet()) {
        documents.add("\"" + each.getKey() + "\": " + ReportWriter.toJson(each.getValue()));
      }
      String document = "{" + String.join(",\n", documents) + "}\n";
      if ("-".equals(json)) {
        System.out.print(document);
      } else {
        results.forEach(
            (label, result) -> {
              System.out.println(name + ", " + label);
              result
                  .figures()
                  .forEach((figure, value) -> System.out.printf("  %-40s %.4g%n", figure, value));
              result
                  .counters()
                  .forEach(
                      (figure, value) -> {
                        if (value != 0) {
                          System.out.printf("  %-40s %d%n", figure, value);
                        }
                      });
            });
        if (json != null) {
          Files.writeString(Path.of(json), document);
        }
      }
      if (html != null) {
        Files.writeString(html, ReportWriter.toHtml(name, results));
      }
    }
  }
}
