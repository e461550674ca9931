package rushwood.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the scripts of continuous integration: {@code .ci/known-red} validates the list of tests
 * that are known to fail, and {@code .ci/run} excludes these tests. Maven is replaced by a script
 * that prints its arguments and the exclusions file.
 */
class KnownRedTest {
  private static final Path REPOSITORY = Path.of("..");
  private static final String LIST_FILE = "KNOWN-RED.txt";
  private static final String DETAILS = " | mvn test, seed: none | 1 of 9 runs | issue 40";
  private static final String VALID_ENTRY = "core QueueTest#keepsOrder" + DETAILS;

  @TempDir Path root;

  /** The exit code of a script, and its standard output and standard error. */
  private record Result(int exitCode, String output) {}

  @BeforeEach
  void createRepository() throws IOException {
    writeTestClass("core", "QueueTest", "@Test\n  void keepsOrder() {");
    writeTestClass(
        "tools",
        "ParserTest",
        "@ParameterizedTest\n  @ValueSource(\n      strings = {\"a\"})\n  void reads(String a) {");
    Files.createDirectory(root.resolve(".ci"));
    for (String script : List.of("run", "known-red")) {
      Files.copy(REPOSITORY.resolve(".ci").resolve(script), root.resolve(".ci").resolve(script));
    }
  }

  private void writeTestClass(String module, String name, String method) throws IOException {
    Path folder = root.resolve(module).resolve("src/test/java/store/queue");
    Files.createDirectories(folder);
    Files.writeString(
        folder.resolve(name + ".java"),
        "package store.queue;\n\nclass "
            + name
            + " {\n  "
            + method
            + "\n    helper();\n  }\n\n  void helper() {\n  }\n}\n");
  }

  private static Result execute(ProcessBuilder builder) throws Exception {
    Process process = builder.redirectErrorStream(true).start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    return new Result(process.waitFor(), output);
  }

  /** Runs {@code .ci/known-red} with a list of these lines. */
  private Result checkList(String... lines) throws Exception {
    Path list = Files.write(root.resolve(LIST_FILE), List.of(lines));
    return checkList(root, list);
  }

  private static Result checkList(Path modules, Path list) throws Exception {
    return execute(
        new ProcessBuilder(
            "bash",
            REPOSITORY.resolve(".ci/known-red").toString(),
            modules.toString(),
            list.toString()));
  }

  private void assertRejected(String line, String reason) throws Exception {
    Result result = checkList("# a comment", VALID_ENTRY, line);
    assertEquals(1, result.exitCode(), result.output());
    assertEquals(
        root.resolve(LIST_FILE) + ":3: " + reason + ": " + line + "\n",
        result.output(),
        "expected only the reason and the line, and no pattern");
  }

  private Result runWithFakeMaven(int mavenExitCode) throws Exception {
    Path folder = Files.createDirectories(root.resolve("bin"));
    Path maven =
        Files.writeString(
            folder.resolve("mvn"),
            "#!/bin/sh\necho \"maven: $*\"\nfor last; do :; done\ncase $last in\n"
                + "  *=*) cat \"${last#*=}\" ;;\nesac\nexit "
                + mavenExitCode
                + "\n");
    assertTrue(maven.toFile().setExecutable(true));
    ProcessBuilder builder = new ProcessBuilder("bash", root.resolve(".ci/run").toString());
    builder.environment().merge("PATH", "", (path, ignored) -> folder + ":" + path);
    return execute(builder);
  }

  @Test
  void listOfThisRepositoryIsValid() throws Exception {
    Path list = REPOSITORY.resolve(LIST_FILE);
    if (Files.exists(list)) {
      Result result = checkList(REPOSITORY, list);
      assertEquals(0, result.exitCode(), result.output());
    }
  }

  @Test
  void validEntriesAreTranslatedToPatterns() throws Exception {
    Result result = checkList("# a comment", "", VALID_ENTRY, "tools ParserTest#reads" + DETAILS);
    assertEquals(
        new Result(0, "store.queue.QueueTest#keepsOrder\nstore.queue.ParserTest#reads\n"), result);
  }

  @Test
  void missingModule() throws Exception {
    assertRejected("cores QueueTest#keepsOrder" + DETAILS, "no such module with tests: cores");
  }

  @Test
  void missingClass() throws Exception {
    assertRejected(
        "tools QueueTest#keepsOrder" + DETAILS,
        "expected one test class, found 0: QueueTest in tools");
  }

  /** A method that is not a test, or a prefix of a test's name, is rejected as well. */
  @Test
  void missingMethod() throws Exception {
    for (String method : List.of("keepsTime", "helper", "keeps")) {
      assertRejected(
          "core QueueTest#" + method + DETAILS,
          "no such test method: QueueTest#" + method + " in core");
    }
  }

  /** Surefire would exclude the test in both modules, as patterns do not name a module. */
  @Test
  void classInSeveralModules() throws Exception {
    writeTestClass("tools", "QueueTest", "@Test\n  void keepsOrder() {");
    Result result = checkList(VALID_ENTRY);
    assertEquals(1, result.exitCode(), result.output());
    assertTrue(
        result.output().contains("test class exists in several modules: QueueTest"),
        result.output());
  }

  @Test
  void duplicateEntry() throws Exception {
    assertRejected(VALID_ENTRY, "duplicate entry for store.queue.QueueTest#keepsOrder");
  }

  @Test
  void malformedLine() throws Exception {
    String reason =
        "not of the form \"module Class#method | command and seed | what was seen"
            + " | issue NUMBER\"";
    for (String line :
        List.of(
            "core QueueTest#keepsOrder",
            "QueueTest#keepsOrder" + DETAILS,
            "core QueueTest" + DETAILS,
            "core QueueTest#*" + DETAILS,
            "core QueueTest#keepsOrder | mvn test | issue 40",
            "core QueueTest#keepsOrder | mvn test |  | issue 40",
            "core QueueTest#keepsOrder | mvn test | 1 of 9 runs | issue",
            VALID_ENTRY + " | more")) {
      assertRejected(line, reason);
    }
  }

  @Test
  void runExcludesNothingWithoutEntries() throws Exception {
    Result buildWithoutExclusions = new Result(0, "maven: -B verify\n");
    assertEquals(buildWithoutExclusions, runWithFakeMaven(0));
    Files.writeString(root.resolve(LIST_FILE), "");
    assertEquals(buildWithoutExclusions, runWithFakeMaven(0));
    Files.writeString(root.resolve(LIST_FILE), "# a comment\n");
    assertEquals(buildWithoutExclusions, runWithFakeMaven(0));
  }

  @Test
  void runExcludesListedTestsAndPrintsThem() throws Exception {
    Files.writeString(root.resolve(LIST_FILE), "# a comment\n" + VALID_ENTRY + "\n");
    Result result = runWithFakeMaven(0);
    assertEquals(0, result.exitCode(), result.output());
    String printed = "Tests excluded because KNOWN-RED.txt lists them:\n" + VALID_ENTRY + "\n";
    String exclusions = "**/*$*\nstore.queue.QueueTest#keepsOrder\n";
    assertEquals(
        printed + "maven: -B verify -Dsurefire.excludesFile=FILE\n" + exclusions + printed,
        result.output().replaceAll("(?<=excludesFile=)\\S+", "FILE"));
  }

  /**
   * {@code .ci/run} exits with Maven's code, or with 1 before Maven starts if the list is invalid.
   */
  @Test
  void runReturnsExitCodeOfFailedStep() throws Exception {
    assertEquals(3, runWithFakeMaven(3).exitCode());
    Files.writeString(root.resolve(LIST_FILE), VALID_ENTRY);
    assertEquals(3, runWithFakeMaven(3).exitCode());
    Files.writeString(root.resolve(LIST_FILE), "core QueueTest#missing" + DETAILS);
    Result invalid = runWithFakeMaven(0);
    assertEquals(1, invalid.exitCode());
    assertTrue(
        invalid.output().startsWith("KNOWN-RED.txt:1: no such test method"), invalid.output());
  }
}
