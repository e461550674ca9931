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
import rushwood.lab.load.Experiment;
import rushwood.lab.load.Result;
import rushwood.lab.load.SocketRun;
import rushwood.lab.report.Reports;
import rushwood.lab.virt.VirtualRun;
import rushwood.overload.OverloadSettings;

/** The laboratory: experiments on loopback. */
@Command(
    name = "lab",
    mixinStandardHelpOptions = true,
    description = "Experiments against stand-ins on loopback.",
    subcommands = {Lab.Run.class, Lab.Virtual.class})
final class Lab implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a sub-command is missing");
  }

  static Experiment read(Path file) throws Rushwood.Bad {
    try {
      return Experiment.read(file);
    } catch (IOException e) {
      throw new Rushwood.Bad(file + ": " + e.getMessage());
    }
  }

  @Command(
      name = "run",
      mixinStandardHelpOptions = true,
      description =
          "Plays an experiment on sockets, once for each build or settings file that is compared.")
  static final class Run implements Callable<Integer> {
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

    @Mixin private Report report;

    @Override
    public Integer call() throws Exception {
      Experiment read = read(experiment);
      Map<String, Result> results = new LinkedHashMap<>();
      for (String jar : jars) {
        for (String each : settings) {
          Path file = Path.of(after(jar));
          if (!Files.exists(file)) {
            throw new Rushwood.Bad("--jar: " + file + " does not exist");
          }
          String label = label(jar) + (settings.size() > 1 ? " " + label(each) : "");
          results.put(
              label,
              new SocketRun(read, new SocketRun.Build(file, flags, after(each), cpus)).play());
        }
      }
      report.tell(read.name(), results);
      return 0;
    }
  }

  @Command(
      name = "virtual",
      mixinStandardHelpOptions = true,
      description = "Plays an experiment in virtual time, with the storm module and without it.")
  static final class Virtual implements Callable<Integer> {
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

    @Mixin private Report report;

    @Override
    public Integer call() throws Exception {
      Experiment read = read(experiment).times(times);
      Map<String, Result> results = new LinkedHashMap<>();
      for (int each : routers.isEmpty() ? List.of(read.allRouters()) : routers) {
        Experiment sized = read.with(each);
        results.put(
            each + " routers, with", new VirtualRun(sized, OverloadSettings.DEFAULT).play());
        results.put(each + " routers, without", new VirtualRun(sized, null).play());
      }
      report.tell(read.name(), results);
      return 0;
    }
  }

  private static String label(String given) {
    int equals = given.indexOf('=');
    return equals < 0 ? given : given.substring(0, equals);
  }

  private static String after(String given) {
    return given.substring(given.indexOf('=') + 1);
  }

  /** Where results go. */
  static final class Report {
    @Option(names = "--json", description = "Where the results go as JSON; - for standard output.")
    private String json;

    @Option(names = "--html", description = "Where a report with plots goes.")
    private Path html;

    /** Prints the figures, and writes what was asked for. */
    void tell(String name, Map<String, Result> results) throws IOException {
      List<String> documents = new ArrayList<>();
      for (Map.Entry<String, Result> each : results.entrySet()) {
        documents.add("\"" + each.getKey() + "\": " + Reports.json(each.getValue()));
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
        Files.writeString(html, Reports.html(name, results));
      }
    }
  }
}
