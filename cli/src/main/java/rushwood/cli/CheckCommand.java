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

/**
 * {@code check}: validates files against a JSON schema without starting a router. The exit code is
 * 2 if a file is invalid or cannot be read.
 */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description =
        "Validates JSON files, by default the operator's settings, against a JSON schema.")
final class CheckCommand implements Callable<Integer> {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @Parameters(
      arity = "0..*",
      paramLabel = "FILE",
      description = "Files to validate. Default: deploy/rushwood.json.")
  private List<Path> files = List.of(Path.of("deploy/rushwood.json"));

  @Option(names = "--schema", description = "JSON schema. Default: deploy/rushwood.schema.json.")
  private Path schema = Path.of("deploy/rushwood.schema.json");

  @Option(names = "--json", description = "Prints all errors as a JSON array on standard output.")
  private boolean json;

  /** One reason why a file is invalid or cannot be read. */
  private record ValidationError(Path file, String reason) {}

  @Override
  public Integer call() {
    List<ValidationError> errors = new ArrayList<>();
    for (Path file : files) {
      findErrors(file).forEach(reason -> errors.add(new ValidationError(file, reason)));
    }
    if (json) {
      System.out.println(toJson(errors));
    } else {
      errors.forEach(
          error -> System.err.println("rushwood: " + error.file() + ": " + error.reason()));
    }
    return errors.isEmpty() ? Rushwood.EXIT_SUCCESS : Rushwood.EXIT_INVALID_INPUT;
  }

  private List<String> findErrors(Path file) {
    try (InputStream schemaStream = Files.newInputStream(LegacyPaths.resolve(schema))) {
      JsonNode document = MAPPER.readTree(Files.readString(LegacyPaths.resolve(file)));
      return Experiment.violations(document, schemaStream);
    } catch (IOException e) {
      String message = Objects.requireNonNullElse(e.getMessage(), "");
      return List.of("cannot be read: " + message.lines().findFirst().orElse(""));
    }
  }

  private static ArrayNode toJson(List<ValidationError> errors) {
    ArrayNode array = MAPPER.createArrayNode();
    for (ValidationError error : errors) {
      array.addObject().put("file", error.file().toString()).put("fault", error.reason());
    }
    return array;
  }
}
