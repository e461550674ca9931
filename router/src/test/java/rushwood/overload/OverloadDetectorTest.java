package rushwood.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Runs scenario files. A line {@code for N arrivals A repeats R ...} feeds the detector N ticks
 * with these counts (the arrivals include the repeats), a line {@code expect STATE} checks its
 * state, and a line that starts with {@code #} is a comment.
 */
class OverloadDetectorTest {
  private static final Set<String> COUNT_NAMES =
      Set.of("arrivals", "repeats", "refused", "completed");

  @TestFactory
  List<DynamicTest> scenarios() throws IOException {
    List<Path> scenarioFiles;
    try (Stream<Path> files = Files.list(Path.of("src/test/resources/overload"))) {
      scenarioFiles = files.sorted().toList();
    }
    assertTrue(scenarioFiles.size() >= 5);
    return scenarioFiles.stream()
        .map(file -> DynamicTest.dynamicTest(file.getFileName().toString(), () -> run(file)))
        .toList();
  }

  private static void run(Path file) throws IOException {
    OverloadDetector detector = new OverloadDetector();
    int lineNumber = 0;
    for (String line : Files.readAllLines(file)) {
      lineNumber++;
      String[] words = line.split(" ");
      switch (words[0]) {
        case "expect" ->
            assertEquals(
                words[1], detector.state().name(), file + ":" + lineNumber + " " + detector);
        case "for" -> feed(detector, Integer.parseInt(words[1]), parseCounts(words));
        default -> assertEquals("#", words[0]);
      }
    }
  }

  private static Map<String, Integer> parseCounts(String[] words) {
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 2; i < words.length; i += 2) {
      assertTrue(COUNT_NAMES.contains(words[i]), words[i]);
      counts.put(words[i], Integer.parseInt(words[i + 1]));
    }
    return counts;
  }

  private static void feed(OverloadDetector detector, int ticks, Map<String, Integer> counts) {
    int arrivals = counts.getOrDefault("arrivals", 0);
    int repeats = counts.getOrDefault("repeats", 0);
    assertTrue(repeats <= arrivals, "the arrivals include the repeats");
    for (int tick = 0; tick < ticks; tick++) {
      for (int i = 0; i < arrivals; i++) {
        detector.recordArrival(i < repeats);
      }
      for (int i = 0; i < counts.getOrDefault("refused", 0); i++) {
        detector.recordRefused();
      }
      for (int i = 0; i < counts.getOrDefault("completed", 0); i++) {
        detector.recordCompleted();
      }
      detector.tick();
    }
  }
}
