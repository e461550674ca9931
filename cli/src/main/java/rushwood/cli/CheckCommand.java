package rushwood.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rushwood.testbed.load.Experiment;

/** Checks files against a JSON schema without starting anything; exit code 2 if any is invalid. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description =
        "Checks the operator's settings against their schema, or an experiment of the testbed.")
final class CheckCommand implements Callable<Integer> {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @Parameters(arity = "0..*", paramLabel = "FILE", description = "Default: deploy/rushwood.json.")
  private List<Path> files = List.of(Path.of("deploy/rushwood.json"));

  @Option(names = "--schema", description = "Default: deploy/rushwood.schema.json.")
  private Path schema = Path.of("deploy/rushwood.schema.json");

  @Option(names = "--json", description = "Every fault as JSON on standard output.")
  private boolean json;

  /** What is wrong with a file, in one line. */
  private record Fault(Path file, String reason) {}

  @Override
  public Integer call() {
    List<Fault> faults = new ArrayList<>();
    for (Path file : files) {
      findFaults(file).forEach(reason -> faults.add(new Fault(file, reason)));
    }
    if (json) {
      System.out.println(toJson(faults));
    } else {
      faults.forEach(
          fault -> System.err.println("rushwood: " + fault.file() + ": " + fault.reason()));
    }
    return faults.isEmpty() ? Rushwood.EXIT_DONE : Rushwood.EXIT_INVALID_INPUT;
  }

  private List<String> findFaults(Path file) {
    try (InputStream schemaStream = Files.newInputStream(FormerPaths.resolve(schema))) {
      JsonNode document = MAPPER.readTree(Files.readString(FormerPaths.resolve(file)));
      return Experiment.violations(document, schemaStream);
    } catch (IOException e) {
      String message = Objects.requireNonNullElse(e.getMessage(), "");
      return List.of("cannot be read: " + message.lines().findFirst().orElse(""));
    }
  }

  private static ArrayNode toJson(List<Fault> faults) {
    ArrayNode array = MAPPER.createArrayNode();
    for (Fault fault : faults) {
      array.addObject().put("file", fault.file().toString()).put("fault", fault.reason());
    }
    return array;
  }
}
