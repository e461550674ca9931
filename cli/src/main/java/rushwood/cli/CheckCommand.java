package rushwood.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rushwood.testbed.load.Experiment;

/** Checks files without starting anything. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description =
        "Checks the operator's settings against their schema, or an experiment of the laboratory.")
final class CheckCommand implements Callable<Integer> {
  @Parameters(arity = "0..*", paramLabel = "FILE", description = "Default: deploy/rushwood.json.")
  private List<Path> files = List.of(Path.of("deploy/rushwood.json"));

  @Option(names = "--schema", description = "Default: deploy/rushwood.schema.json.")
  private Path schema = Path.of("deploy/rushwood.schema.json");

  @Option(names = "--json", description = "Every fault as JSON on standard output.")
  private boolean json;

  @Override
  public Integer call() throws Exception {
    ObjectMapper mapper = new ObjectMapper();
    ArrayNode all = mapper.createArrayNode();
    for (Path file : files) {
      List<String> faults;
      try (InputStream rules = Files.newInputStream(schema)) {
        JsonNode document = mapper.readTree(Files.readString(file));
        faults = Experiment.violations(document, rules);
      } catch (IOException e) {
        faults = List.of("cannot be read: " + e.getMessage().lines().findFirst().orElse(""));
      }
      for (String fault : faults) {
        all.addObject().put("file", file.toString()).put("fault", fault);
      }
    }
    if (json) {
      System.out.println(all);
    } else {
      all.forEach(
          each ->
              System.err.println(
                  "rushwood: " + each.get("file").asText() + ": " + each.get("fault").asText()));
    }
    return all.isEmpty() ? 0 : 2;
  }
}
