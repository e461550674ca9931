package rushwood.policy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Runs every scenario of the routing policy; {@link ScenarioPlayer} describes the commands. */
class ScenarioTest {
  private static final Path FOLDER = Path.of("src/test/resources/scenarios");

  @TestFactory
  Stream<DynamicTest> scenarios() throws IOException {
    List<Path> files;
    try (Stream<Path> paths = Files.list(FOLDER)) {
      files = paths.sorted().toList();
    }
    return files.stream()
        .map(file -> DynamicTest.dynamicTest(file.getFileName().toString(), () -> play(file)));
  }

  private static void play(Path file) throws IOException {
    ScenarioPlayer player = new ScenarioPlayer();
    ScenarioScript.read(file).forEach(player::execute);
  }
}
