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
 * Plays the scenarios of storms: so many ticks of so much of each, and the state that is to come of
 * it.
 */
class OverloadDetectorTest {
  @TestFactory
  List<DynamicTest> scenarios() throws IOException {
    List<DynamicTest> tests = new ArrayList<>();
    try (Stream<Path> files = Files.list(Path.of("src/test/resources/storms"))) {
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
    OverloadDetector weather = new OverloadDetector();
    int number = 0;
    for (String line : Files.readAllLines(file)) {
      number++;
      String[] words = line.split(" ");
      if (words[0].equals("expect")) {
        assertEquals(words[1], weather.state().name(), file + ":" + number + " " + weather);
      } else if (words[0].equals("for")) {
        for (int i = 0; i < Integer.parseInt(words[1]); i++) {
          for (int at = 2; at < words.length; at += 2) {
            add(weather.tickCounts(), words[at], Integer.parseInt(words[at + 1]));
          }
          weather.tick();
        }
      } else {
        assertEquals("#", words[0]);
      }
    }
  }

  private static void add(OverloadDetector.TickCounts tally, String what, int count) {
    switch (what) {
      case "arrivals" -> tally.arrivals += count;
      case "repeats" -> tally.repeats += count;
      case "refused" -> tally.refused += count;
      case "done" -> tally.completed += count;
      default -> throw new IllegalArgumentException(what);
    }
  }
}
