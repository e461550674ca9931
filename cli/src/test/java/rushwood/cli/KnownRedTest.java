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
 * The scripts of continuous integration: {@code .ci/known-red} checks the list of the tests that
 * are known to fail, {@code .ci/run} passes over them. Maven is replaced by a script that prints
 * its arguments and the file of exclusions.
 */
class KnownRedTest {
  private static final Path REPOSITORY = Path.of("..");
  private static final String LIST = "KNOWN-RED.txt";
  private static final String REST = " | mvn test, seed: none | 1 of 9 runs | issue 40";
  private static final String VALID = "core QueueTest#keepsOrder" + REST;

  @TempDir Path root;

  /** What a script did: all that it printed, and its exit code. */
  private record Result(int exitCode, String output) {}

  @BeforeEach
  void createModules() throws IOException {
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

  /** Checks a list that consists of these lines. */
  private Result check(String... lines) throws Exception {
    Path list = Files.write(root.resolve(LIST), List.of(lines));
    return check(root, list);
  }

  private static Result check(Path modules, Path list) throws Exception {
    return execute(
        new ProcessBuilder(
            "bash",
            REPOSITORY.resolve(".ci/known-red").toString(),
            modules.toString(),
            list.toString()));
  }

  private void assertRejected(String line, String reason) throws Exception {
    Result result = check("# a comment", VALID, line);
    assertEquals(1, result.exitCode(), result.output());
    assertEquals(
        root.resolve(LIST) + ":3: " + reason + ": " + line + "\n",
        result.output(),
        "the line and the reason, and no pattern");
  }

  private Result runWithMavenReplaced(int mavenExitCode) throws Exception {
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
    builder.environment().merge("PATH", "", (path, none) -> folder + ":" + path);
    return execute(builder);
  }

  @Test
  void theListOfThisRepositoryIsValid() throws Exception {
    Path list = REPOSITORY.resolve(LIST);
    if (Files.exists(list)) {
      Result result = check(REPOSITORY, list);
      assertEquals(0, result.exitCode(), result.output());
    }
  }

  @Test
  void validEntriesBecomePatterns() throws Exception {
    Result result = check("# a comment", "", VALID, "tools ParserTest#reads" + REST);
    assertEquals(
        new Result(0, "store.queue.QueueTest#keepsOrder\nstore.queue.ParserTest#reads\n"), result);
  }

  @Test
  void missingModule() throws Exception {
    assertRejected("cores QueueTest#keepsOrder" + REST, "names no module with tests: cores");
  }

  @Test
  void missingClass() throws Exception {
    assertRejected(
        "tools QueueTest#keepsOrder" + REST, "names 0 test classes, not one: QueueTest in tools");
  }

  /** Also a method that is no test, and the beginning of a name. */
  @Test
  void missingMethod() throws Exception {
    for (String method : List.of("keepsTime", "helper", "keeps")) {
      assertRejected(
          "core QueueTest#" + method + REST,
          "names no test method: QueueTest#" + method + " in core");
    }
  }

  /** Surefire would pass over the test in both modules. */
  @Test
  void classThatStandsInSeveralModules() throws Exception {
    writeTestClass("tools", "QueueTest", "@Test\n  void keepsOrder() {");
    Result result = check(VALID);
    assertEquals(1, result.exitCode(), result.output());
    assertTrue(result.output().contains("stands in several modules: QueueTest"), result.output());
  }

  @Test
  void repeatedEntry() throws Exception {
    assertRejected(VALID, "repeats the entry of store.queue.QueueTest#keepsOrder");
  }

  @Test
  void malformedLine() throws Exception {
    String reason =
        "is not of the form \"module Class#method | command and seed | what was seen"
            + " | issue NUMBER\"";
    for (String line :
        List.of(
            "core QueueTest#keepsOrder",
            "QueueTest#keepsOrder" + REST,
            "core QueueTest" + REST,
            "core QueueTest#*" + REST,
            "core QueueTest#keepsOrder | mvn test | issue 40",
            "core QueueTest#keepsOrder | mvn test |  | issue 40",
            "core QueueTest#keepsOrder | mvn test | 1 of 9 runs | issue",
            VALID + " | more")) {
      assertRejected(line, reason);
    }
  }

  @Test
  void plainRunWithoutEntries() throws Exception {
    Result plain = new Result(0, "maven: -B verify\n");
    assertEquals(plain, runWithMavenReplaced(0));
    Files.writeString(root.resolve(LIST), "");
    assertEquals(plain, runWithMavenReplaced(0));
    Files.writeString(root.resolve(LIST), "# a comment\n");
    assertEquals(plain, runWithMavenReplaced(0));
  }

  @Test
  void runPassesOverTheListedTestsAndPrintsThem() throws Exception {
    Files.writeString(root.resolve(LIST), "# a comment\n" + VALID + "\n");
    Result result = runWithMavenReplaced(0);
    assertEquals(0, result.exitCode(), result.output());
    String printed = "Passed over, as KNOWN-RED.txt lists them:\n" + VALID + "\n";
    String exclusions = "**/*$*\nstore.queue.QueueTest#keepsOrder\n";
    assertEquals(
        printed + "maven: -B verify -Dsurefire.excludesFile=FILE\n" + exclusions + printed,
        result.output().replaceAll("(?<=excludesFile=)\\S+", "FILE"));
  }

  /**
   * A failure of the build or of the check is the script's own; nothing is built after the latter.
   */
  @Test
  void runFails() throws Exception {
    assertEquals(3, runWithMavenReplaced(3).exitCode());
    Files.writeString(root.resolve(LIST), VALID);
    assertEquals(3, runWithMavenReplaced(3).exitCode());
    Files.writeString(root.resolve(LIST), "core QueueTest#missing" + REST);
    Result invalid = runWithMavenReplaced(0);
    assertEquals(1, invalid.exitCode());
    assertTrue(
        invalid.output().startsWith("KNOWN-RED.txt:1: names no test method"), invalid.output());
  }
}
