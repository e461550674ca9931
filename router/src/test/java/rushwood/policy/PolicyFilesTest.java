package rushwood.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Tests the requirements of the deployment on the files that {@code policy} lists in
 * deploy/balancer.toml.
 */
class PolicyFilesTest {
  private static final Path ROOT = Path.of("..");
  private static final int MAX_COLUMNS = 110;

  /** A clock, I/O, threads, a random generator of its own, or a static field that is not final. */
  private static final Pattern FORBIDDEN =
      Pattern.compile(
          "System\\.|java\\.time|java\\.io|java\\.nio|java\\.net\\b|java\\.util\\.concurrent"
              + "|\\bThread\\b|synchronized|Math\\.random|new (Splittable)?Random"
              + "|static (?!final|\\w+ \\w+\\(|\\w+\\()\\w+ \\w+ *(=|;)");

  private static final Path PACKAGE = Path.of("src/main/java/rushwood/policy");

  /** File names of types that make decisions. */
  private static final Pattern DECIDING_TYPE =
      Pattern.compile(".*(Policy|Selector|Detector|Decider|Limiter|Tracker)\\.java");

  private static final Pattern COMMENT_OR_TEXT =
      Pattern.compile("(?s)/\\*.*?\\*/|//[^\\n]*|\"[^\"\\n]*\"");

  /** A number other than 0 and 1. */
  private static final Pattern NUMBER = Pattern.compile("\\b(?!(?:0|1)L?\\b(?!\\.))\\d[\\w.]*");

  /** The value of {@code Times.LONG_AGO}, a time before any clock time. */
  private static final String SENTINEL = "Long.MIN_VALUE / 2";

  private static List<Path> policyFiles() throws IOException {
    String deployment = Files.readString(ROOT.resolve("deploy/balancer.toml"));
    String list =
        deployment.lines().filter(line -> line.startsWith("policy = ")).findFirst().orElseThrow();
    return Pattern.compile("\"([^\"]+)\"")
        .matcher(list)
        .results()
        .map((MatchResult name) -> ROOT.resolve(name.group(1)))
        .toList();
  }

  @Test
  void noLineExceedsMaxColumns() throws IOException {
    for (Path file : policyFiles()) {
      for (String line : Files.readAllLines(file)) {
        assertTrue(line.length() <= MAX_COLUMNS, file + ": " + line);
      }
    }
  }

  @Test
  void policyUsesNoClockInputOutputThreadsOrMutableStatics() throws IOException {
    List<String> found = new ArrayList<>();
    for (Path file : policyFiles()) {
      for (String line : Files.readAllLines(file)) {
        if (FORBIDDEN.matcher(line).find()) {
          found.add(file.getFileName() + ": " + line.trim());
        }
      }
    }
    assertEquals(List.of(), found);
  }

  @Test
  void firstFileIsTheEntryPoint() throws IOException {
    assertTrue(policyFiles().get(0).endsWith("DefaultRoutingPolicy.java"));
  }

  @Test
  void eachFileExistsAndItsTypeHasJavadoc() throws IOException {
    List<String> missing = new ArrayList<>();
    for (Path file : policyFiles()) {
      String type = file.getFileName().toString().replace(".java", "");
      Pattern documentedType =
          Pattern.compile("\\*/\\n(public )?(final class|enum|record|interface) " + type + "\\b");
      if (!documentedType.matcher(Files.readString(file)).find()) {
        missing.add(type);
      }
    }
    assertEquals(List.of(), missing);
  }

  @Test
  void decidingTypesAreListed() throws IOException {
    List<String> found = new ArrayList<>();
    for (Path file : otherFiles()) {
      if (DECIDING_TYPE.matcher(file.getFileName().toString()).matches()) {
        found.add(file.getFileName().toString());
      }
    }
    assertEquals(List.of(), found);
  }

  @Test
  void otherFilesContainNoNumericConstants() throws IOException {
    List<String> found = new ArrayList<>();
    for (Path file : otherFiles()) {
      String code = COMMENT_OR_TEXT.matcher(Files.readString(file)).replaceAll("");
      NUMBER
          .matcher(code.replace(SENTINEL, ""))
          .results()
          .forEach(number -> found.add(file.getFileName() + ": " + number.group()));
    }
    assertEquals(List.of(), found);
  }

  /** Returns the files of the package that the deploy file does not list. */
  private static List<Path> otherFiles() throws IOException {
    List<String> listed =
        policyFiles().stream().map(file -> file.getFileName().toString()).toList();
    try (Stream<Path> files = Files.list(PACKAGE)) {
      List<Path> others =
          files.filter(file -> !listed.contains(file.getFileName().toString())).sorted().toList();
      assertFalse(others.isEmpty(), "no files in " + PACKAGE);
      return others;
    }
  }
}
