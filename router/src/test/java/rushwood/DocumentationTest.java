package rushwood;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the pages name existing types, and that docs/on-call.md lists all log lines. */
class DocumentationTest {
  private static final Path ROOT = Path.of("..");
  private static final Path ROUTER_SOURCES = ROOT.resolve("router/src/main/java");
  private static final Path ON_CALL_PAGE = ROOT.resolve("docs/on-call.md");

  /** Pages of past entries, which keep the names that were valid then. */
  private static final Set<String> HISTORICAL_PAGES = Set.of("ROADMAP.md", "CHANGELOG.md");

  /** Names from the JDK, Netty, the wire formats and examples. */
  private static final Set<String> EXTERNAL_NAMES =
      Set.of(
          "FileRegion",
          "Fixture",
          "Foo",
          "FooTest",
          "Gone",
          "Nanos",
          "NioIoHandler",
          "ProcessBuilder",
          "Ready",
          "Runtime",
          "Signal",
          "SplittableRandom",
          "Terminating");

  /** A type in code quotes, with an optional package before it and an optional member after it. */
  private static final Pattern TYPE_NAME =
      Pattern.compile("`(?:[a-z]\\w*[./])*([A-Z]+[a-z]\\w*)(?:\\.(\\w+))?[^`]*`");

  private static final Pattern TYPE_DECLARATION =
      Pattern.compile("\\b(?:class|record|enum|interface)\\s+([A-Z]\\w+)");

  /** A call that logs a line: its level, or a call that returns the level, and its arguments. */
  private static final Pattern LOG_CALL =
      Pattern.compile(
          "\\b(?:log(?:\\.accept)?\\(\\s*(?:LogLevel\\.(\\w+)|[\\w.()]+\\.logLevel\\(\\)),"
              + "|Logger\\.(info|warn|error)\\()(.*?)\\);",
          Pattern.DOTALL);

  private static final Pattern STRING_LITERAL = Pattern.compile("\"((?:[^\"\\\\]|\\\\.)*)\"");

  /** A placeholder for a value on the page: a word in capitals. */
  private static final Pattern PAGE_PLACEHOLDER = Pattern.compile("\\b(?!HTTP\\b)[A-Z]+\\b");

  /** Replaces a value or placeholder in lines that are compared. */
  private static final String VALUE = "\0";

  /** Arguments of calls that forward a line whose text is given at another call. */
  private static final Set<String> FORWARDED_ARGUMENTS = Set.of("problem", "\"{}\", line");

  /** A row in the table of log lines: the level and the quoted lines. */
  private static final Pattern LOG_ROW =
      Pattern.compile("\\| (INFO|WARN|ERROR|INFO or WARN) \\| ([^|]*) \\|.*");

  private static List<Path> files(Path directory, String suffix) throws IOException {
    try (Stream<Path> paths = Files.walk(directory)) {
      return paths.filter(path -> path.toString().endsWith(suffix)).sorted().toList();
    }
  }

  private static List<Path> pages() throws IOException {
    List<Path> pages = new ArrayList<>();
    for (Path directory : List.of(ROOT, ROOT.resolve("docs"))) {
      try (Stream<Path> paths = Files.list(directory)) {
        paths.filter(path -> path.toString().endsWith(".md")).forEach(pages::add);
      }
    }
    pages.removeIf(page -> HISTORICAL_PAGES.contains(page.getFileName().toString()));
    return pages;
  }

  /** Maps each type of the project, including tests, to the text of the files that declare it. */
  private static Map<String, String> declaringFiles() throws IOException {
    Map<String, String> texts = new HashMap<>();
    for (String module : List.of("router", "testbed", "cli")) {
      for (Path file : files(ROOT.resolve(module).resolve("src"), ".java")) {
        String text = Files.readString(file);
        TYPE_DECLARATION
            .matcher(text)
            .results()
            .map(declaration -> declaration.group(1))
            .distinct()
            .forEach(type -> texts.merge(type, text, String::concat));
      }
    }
    return texts;
  }

  @Test
  void pagesNameTypesAndMembersThatExist() throws IOException {
    Map<String, String> declaringFiles = declaringFiles();
    List<String> unknown = new ArrayList<>();
    for (Path page : pages()) {
      for (MatchResult name : TYPE_NAME.matcher(Files.readString(page)).results().toList()) {
        if (!exists(name.group(1), name.group(2), declaringFiles)) {
          unknown.add(page.getFileName() + ": " + name.group());
        }
      }
    }
    assertEquals(List.of(), unknown);
  }

  private static boolean exists(String type, String member, Map<String, String> declaringFiles) {
    if (EXTERNAL_NAMES.contains(type)) {
      return true;
    }
    String text = declaringFiles.get(type);
    return text != null
        && (member == null || Pattern.compile("\\b" + member + "\\b").matcher(text).find());
  }

  /**
   * A log line in which {@link #VALUE} replaces each value.
   *
   * @param level the level, empty if the code computes it
   */
  private record LogLine(String level, String text) {
    /** Returns whether this line of the page matches a line of the code that may end in a value. */
    boolean matches(LogLine logged) {
      boolean sameText =
          logged.text.endsWith(VALUE)
              ? text.startsWith(logged.text.substring(0, logged.text.length() - 1))
              : text.equals(logged.text);
      return sameText && (logged.level.isEmpty() || level.equals(logged.level));
    }
  }

  private static List<LogLine> loggedLines() throws IOException {
    List<LogLine> lines = new ArrayList<>();
    for (Path file : files(ROUTER_SOURCES, ".java")) {
      for (MatchResult call : LOG_CALL.matcher(Files.readString(file)).results().toList()) {
        if (!FORWARDED_ARGUMENTS.contains(call.group(3).trim())) {
          lines.add(toLogLine(call));
        }
      }
    }
    return lines;
  }

  private static LogLine toLogLine(MatchResult call) {
    String level = Stream.of(1, 2).map(call::group).filter(Objects::nonNull).findFirst().orElse("");
    String arguments = call.group(3);
    StringBuilder text = new StringBuilder();
    int end = 0;
    for (MatchResult literal : STRING_LITERAL.matcher(arguments).results().toList()) {
      appendValue(text, arguments.substring(end, literal.start()));
      text.append(literal.group(1).replace("{}", VALUE));
      end = literal.end();
    }
    appendValue(text, arguments.substring(end));
    return new LogLine(level.toUpperCase(Locale.ROOT), text.toString());
  }

  /** Appends {@link #VALUE} if the code between two literals adds a value to the text. */
  private static void appendValue(StringBuilder text, String expression) {
    boolean isAdded = expression.contains("+") && !expression.replace('+', ' ').isBlank();
    if (isAdded) {
      text.append(VALUE);
    }
  }

  private static List<LogLine> onCallPageLines() throws IOException {
    List<LogLine> lines = new ArrayList<>();
    for (String row : Files.readAllLines(ON_CALL_PAGE)) {
      var cells = LOG_ROW.matcher(row);
      if (cells.matches()) {
        STRING_LITERAL
            .matcher(cells.group(2))
            .results()
            .map(line -> PAGE_PLACEHOLDER.matcher(line.group(1)).replaceAll(VALUE))
            .forEach(line -> lines.add(new LogLine(cells.group(1), line)));
      }
    }
    return lines;
  }

  @Test
  void onCallPageListsEveryLogLine() throws IOException {
    List<LogLine> described = onCallPageLines();
    List<LogLine> missing =
        loggedLines().stream()
            .filter(line -> described.stream().noneMatch(page -> page.matches(line)))
            .toList();
    assertEquals(List.of(), missing);
  }

  @Test
  void codeHasEveryLogLineOfTheOnCallPage() throws IOException {
    Set<String> literals = new HashSet<>();
    for (Path file : files(ROUTER_SOURCES, ".java")) {
      STRING_LITERAL
          .matcher(Files.readString(file))
          .results()
          .forEach(literal -> literals.add(literal.group(1)));
    }
    List<String> unknown = new ArrayList<>();
    for (LogLine line : onCallPageLines()) {
      Stream.of(line.text().split(VALUE))
          .filter(part -> !isInLiterals(part, literals))
          .forEach(part -> unknown.add(line.text() + ": " + part));
    }
    assertEquals(List.of(), unknown);
    assertFalse(onCallPageLines().isEmpty(), "no table of log lines found");
  }

  /** Returns whether a literal contains the text, or one is its start and another has the rest. */
  private static boolean isInLiterals(String text, Set<String> literals) {
    return isContained(text, literals)
        || literals.stream()
            .filter(literal -> !literal.isBlank() && text.startsWith(literal))
            .anyMatch(literal -> isContained(text.substring(literal.length()), literals));
  }

  private static boolean isContained(String text, Set<String> literals) {
    return literals.stream().anyMatch(literal -> literal.contains(text));
  }
}
