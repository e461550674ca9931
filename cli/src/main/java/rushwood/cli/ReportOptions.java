package rushwood.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Option;
import rushwood.testbed.load.ExperimentResult;
import rushwood.testbed.report.ReportWriter;

/** The options that say where an experiment's results go, shared by the testbed's commands. */
final class ReportOptions {
  private static final String STANDARD_OUTPUT = "-";

  @Option(names = "--json", description = "Where the results go as JSON; - for standard output.")
  private @Nullable String json;

  @Option(names = "--html", description = "Where a report with plots goes.")
  private @Nullable Path html;

  /** Prints the figures, or the JSON if that goes to standard output, and writes the files. */
  void write(String experimentName, Map<String, ExperimentResult> results) throws IOException {
    if (STANDARD_OUTPUT.equals(json)) {
      System.out.print(toJson(results));
    } else {
      results.forEach((label, result) -> printFigures(experimentName + ", " + label, result));
      if (json != null) {
        Files.writeString(Path.of(json), toJson(results));
      }
    }
    if (html != null) {
      Files.writeString(html, ReportWriter.toHtml(experimentName, results));
    }
  }

  private static String toJson(Map<String, ExperimentResult> results) throws IOException {
    List<String> documents = new ArrayList<>();
    for (Map.Entry<String, ExperimentResult> entry : results.entrySet()) {
      documents.add("\"" + entry.getKey() + "\": " + ReportWriter.toJson(entry.getValue()));
    }
    return "{" + String.join(",\n", documents) + "}\n";
  }

  private static void printFigures(String title, ExperimentResult result) {
    System.out.println(title);
    result.figures().forEach((name, value) -> System.out.printf("  %-40s %.4g%n", name, value));
    result
        .counters()
        .forEach(
            (name, value) -> {
              if (value != 0) {
                System.out.printf("  %-40s %d%n", name, value);
              }
            });
  }
}
