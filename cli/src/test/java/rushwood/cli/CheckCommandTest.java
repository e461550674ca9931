package rushwood.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CheckCommandTest {
  private static final String SETTINGS_SCHEMA = "../deploy/rushwood.schema.json";

  @TempDir Path folder;

  private final CommandRunner command = new CommandRunner();

  @Test
  void settingsAreValidatedAgainstSchema() throws IOException {
    assertEquals(0, command.run("check", "../deploy/rushwood.json", "--schema", SETTINGS_SCHEMA));
    Path negativeNumber =
        Files.writeString(folder.resolve("bad.json"), "{\"storm\":{\"repeats\":-1}}");
    assertEquals(
        2, command.run("check", negativeNumber.toString(), "--schema", SETTINGS_SCHEMA, "--json"));
    String errors = command.output();
    assertTrue(errors.startsWith("[{\"file\":\"" + negativeNumber + "\",\"fault\":\""), errors);
    assertTrue(errors.contains("storm.repeats"), errors);
    Path missingLogFile =
        Files.writeString(folder.resolve("json.json"), "{\"log\":{\"format\":\"json\"}}");
    assertEquals(
        2, command.run("check", missingLogFile.toString(), "--schema", SETTINGS_SCHEMA, "--json"));
  }

  @Test
  void pathsOfEarlierVersionsAreResolved() {
    String schema = "../lab/src/main/resources/experiment.schema.json";
    assertEquals(
        0, command.run("check", "../lab/experiments/honest-peak.json", "--schema", schema));
    assertEquals(2, command.run("check", "../lab/experiments/missing.json", "--schema", schema));
  }
}
