package rushwood.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Plays scenario files: {@code for N arrivals A ...} feeds N ticks of these counts, {@code expect
 * STATE} checks the state that follows.
 */
class OverloadDetectorTest {
  @TestFactory
  List<DynamicTest> scenarios() throws IOException {
    List<DynamicTest> tests = new ArrayList<>();
    try (Stream<Path> files = Files.list(Path.of("src/test/resources/overload"))) {
      files
          .sorted()
          .forEach(
              file ->
                  tests.add(
                      DynamicTest.dynamicTest(file.getFileName().toString(), () -> play(file))));
    }
    assertTrue(tests.size() >= 5);
    return tests;
  }

  private static void play(Path file) throws IOException {
    OverloadDetector detector = new OverloadDetector();
    int lineNumber = 0;
    for (String line : Files.readAllLines(file)) {
      lineNumber++;
      String[] words = line.split(" ");
      if (words[0].equals("expect")) {
        assertEquals(words[1], detector.state().name(), file + ":" + lineNumber + " " + detector);
      } else if (words[0].equals("for")) {
        for (int tick = 0; tick < Integer.parseInt(words[1]); tick++) {
          for (int i = 2; i < words.length; i += 2) {
            add(detector.tickCounts(), words[i], Integer.parseInt(words[i + 1]));
          }
          detector.tick();
        }
      } else {
        assertEquals("#", words[0]);
      }
    }
  }

  private static void add(OverloadDetector.TickCounts counts, String kind, int count) {
    switch (kind) {
      case "arrivals" -> counts.arrivals += count;
      case "repeats" -> counts.repeats += count;
      case "refused" -> counts.refused += count;
      case "completed" -> counts.completed += count;
      default -> throw new IllegalArgumentException(kind);
    }
  }
}
