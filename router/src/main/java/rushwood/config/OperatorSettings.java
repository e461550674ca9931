package rushwood.config;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import rushwood.overload.OverloadSettings;

/**
 * The settings that the operator controls. The schema of their file is {@code
 * deploy/rushwood.schema.json}.
 *
 * @param overload the settings of overload control
 * @param jsonLogFile the file that log lines are written to as JSON; empty if they are written to
 *     standard output as text
 */
public record OperatorSettings(OverloadSettings overload, Optional<String> jsonLogFile) {
  private static final String FILE_VARIABLE = "RUSHWOOD_SETTINGS";
  private static final String DEFAULT_FILE = "deploy/rushwood.json";

  private static final double MAX_RETRIES_PER_FIRST_ATTEMPT = 10;
  private static final double MAX_RETRIES_PER_SECOND_FLOOR = 1e6;

  /** The settings that are used if there is no file. */
  public static final OperatorSettings DEFAULTS =
      new OperatorSettings(OverloadSettings.DEFAULT, Optional.empty());

  /**
   * Reads the file that the environment variable {@code RUSHWOOD_SETTINGS} names. If it is not set,
   * reads {@code deploy/rushwood.json} below the working directory; if there is no such file,
   * returns {@link #DEFAULTS}.
   *
   * @throws InvalidConfigException if the file cannot be read, or for its first invalid field
   */
  public static OperatorSettings read(Map<String, String> environment)
      throws InvalidConfigException {
    String namedFile = environment.get(FILE_VARIABLE);
    boolean isNamed = namedFile != null && !namedFile.isEmpty();
    try {
      Path file = Path.of(isNamed ? namedFile : DEFAULT_FILE);
      return !isNamed && !Files.exists(file) ? DEFAULTS : parse(Files.readString(file));
    } catch (IOException | InvalidPathException e) {
      throw new InvalidConfigException(
          FILE_VARIABLE, "names a file that cannot be read: " + e.getMessage());
    }
  }

  static OperatorSettings parse(String text) throws InvalidConfigException {
    JsonObject json;
    try {
      json = JsonParser.parseString(text).getAsJsonObject();
    } catch (JsonParseException | IllegalStateException e) { // not JSON, or not an object
      throw new InvalidConfigException("rushwood.json", "is not a JSON object");
    }
    JsonSection root = new JsonSection("", json);
    root.rejectUnknownFields(List.of("storm", "log"));
    JsonSection overload = root.section("storm");
    overload.rejectUnknownFields(
        List.of("calendar", "pace_dials", "repeats", "repeats_floor", "doubts"));
    JsonSection log = root.section("log");
    log.rejectUnknownFields(List.of("format", "file"));
    return new OperatorSettings(decodeOverload(overload), decodeJsonLogFile(log));
  }

  private static OverloadSettings decodeOverload(JsonSection section)
      throws InvalidConfigException {
    OverloadSettings defaults = OverloadSettings.DEFAULT;
    return new OverloadSettings(
        section.flag("calendar", defaults.retryAfterSchedule()),
        section.flag("pace_dials", defaults.connectBackoff()),
        section.number("repeats", defaults.retriesPerFirstAttempt(), MAX_RETRIES_PER_FIRST_ATTEMPT),
        section.number(
            "repeats_floor", defaults.minRetriesPerSecond(), MAX_RETRIES_PER_SECOND_FLOOR),
        section.flag("doubts", defaults.failAmbiguousWrites()));
  }

  /**
   * Decodes the name of the JSON log file; empty for the text format. JSON lines always go to a
   * file, because the logging library seeks in its output, which is not possible on standard
   * output.
   */
  private static Optional<String> decodeJsonLogFile(JsonSection log) throws InvalidConfigException {
    String format = log.text("format", "lines");
    String file = log.text("file", "");
    if (!format.equals("lines") && !format.equals("json")) {
      throw log.invalid("format", "is neither lines nor json");
    }
    if (format.equals("json") && file.isEmpty()) {
      throw log.invalid("file", "is missing");
    }
    if (format.equals("lines") && !file.isEmpty()) {
      throw log.invalid("file", "is allowed only with the format json");
    }
    return file.isEmpty() ? Optional.empty() : Optional.of(file);
  }
}
