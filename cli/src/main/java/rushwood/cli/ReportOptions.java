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

/** Output options that the testbed's commands share, and the output of the results. */
final class ReportOptions {
  private static final String STANDARD_OUTPUT = "-";

  @Option(names = "--json", description = "File for the results as JSON; - for standard output.")
  private @Nullable String json;

  @Option(names = "--html", description = "File for an HTML report with plots.")
  private @Nullable Path html;

  /**
   * Writes the results to the files that the options name. Standard output gets the JSON if {@code
   * --json} is {@code -}, otherwise the figures and the counters other than zero as text.
   *
   * @param results the results by label, in the order of the output
   */
  void write(String experimentName, Map<String, ExperimentResult> results) throws IOException {
    if (STANDARD_OUTPUT.equals(json)) {
      System.out.print(toJson(results));
    } else {
      results.forEach((label, result) -> printAsText(experimentName + ", " + label, result));
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

  private static void printAsText(String title, ExperimentResult result) {
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
