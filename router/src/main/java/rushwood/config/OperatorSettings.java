package rushwood.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import rushwood.overload.OverloadSettings;

/**
 * The settings that the operator owns: the file that RUSHWOOD_SETTINGS names, else
 * deploy/rushwood.json below the folder of the start, else none. {@code jsonLog} is the file that
 * gets each log line as JSON, null for lines on standard output. deploy/rushwood.schema.json
 * describes it; here it is checked without a library.
 */
public record OperatorSettings(OverloadSettings overload, String jsonLogFile) {
  private static final String DEFAULT_FILE = "deploy/rushwood.json";
  public static final OperatorSettings DEFAULTS =
      new OperatorSettings(OverloadSettings.DEFAULT, null);

  public static OperatorSettings read(Map<String, String> environment)
      throws InvalidConfigException {
    String named = environment.get("RUSHWOOD_SETTINGS");
    boolean isNamed = named != null && !named.isEmpty();
    try {
      Path file = Path.of(isNamed ? named : DEFAULT_FILE);
      return !isNamed && !Files.exists(file) ? DEFAULTS : parse(Files.readString(file));
    } catch (IOException | InvalidPathException e) {
      throw new InvalidConfigException(
          "RUSHWOOD_SETTINGS", "names a file that cannot be read: " + e.getMessage());
    }
  }

  static OperatorSettings parse(String text) throws InvalidConfigException {
    JsonObject json;
    try {
      json = JsonParser.parseString(text).getAsJsonObject();
    } catch (RuntimeException e) {
      throw new InvalidConfigException("rushwood.json", "is no JSON object");
    }
    rejectUnknownFields("", json, List.of("storm", "log"));
    JsonObject overload = objectField(json, "storm");
    rejectUnknownFields(
        "storm.",
        overload,
        List.of("calendar", "pace_dials", "repeats", "repeats_floor", "doubts"));
    JsonObject log = objectField(json, "log");
    rejectUnknownFields("log.", log, List.of("format", "file"));
    OverloadSettings defaults = OverloadSettings.DEFAULT;
    return new OperatorSettings(
        new OverloadSettings(
            booleanField(overload, "storm.calendar", defaults.retryAfterSchedule()),
            booleanField(overload, "storm.pace_dials", defaults.connectBackoff()),
            numberField(overload, "storm.repeats", defaults.retriesPerFirstAttempt(), 10),
            numberField(overload, "storm.repeats_floor", defaults.minRetriesPerSecond(), 1e6),
            booleanField(overload, "storm.doubts", defaults.failAmbiguousWrites())),
        decodeJsonLogFile(log));
  }

  /**
   * The file of a structured log, which the logging library must be able to seek in: standard
   * output is none.
   */
  private static String decodeJsonLogFile(JsonObject log) throws InvalidConfigException {
    String format = textField(log, "format", "lines");
    String file = textField(log, "file", "");
    if (!format.equals("lines") && !format.equals("json")) {
      throw new InvalidConfigException("log.format", "is neither lines nor json");
    }
    if (format.equals("json") == file.isEmpty()) {
      throw new InvalidConfigException(
          "log.file", file.isEmpty() ? "is missing" : "goes with the format json only");
    }
    return file.isEmpty() ? null : file;
  }

  private static String textField(JsonObject json, String field, String defaultValue)
      throws InvalidConfigException {
    JsonElement value = json.get(field);
    if (value != null && (!value.isJsonPrimitive() || !value.getAsJsonPrimitive().isString())) {
      throw new InvalidConfigException("log." + field, "is no text");
    }
    return value == null ? defaultValue : value.getAsString();
  }

  private static void rejectUnknownFields(String path, JsonObject json, List<String> fields)
      throws InvalidConfigException {
    for (String field : json.keySet()) {
      if (!fields.contains(field)) {
        throw new InvalidConfigException(path + field, "is no setting");
      }
    }
  }

  private static JsonObject objectField(JsonObject json, String field)
      throws InvalidConfigException {
    JsonElement value = json.get(field);
    if (value != null && !value.isJsonObject()) {
      throw new InvalidConfigException(field, "is no object");
    }
    return value == null ? new JsonObject() : value.getAsJsonObject();
  }

  private static boolean booleanField(JsonObject json, String path, boolean defaultValue)
      throws InvalidConfigException {
    JsonElement value = json.get(path.substring(path.indexOf('.') + 1));
    if (value == null) {
      return defaultValue;
    }
    if (!value.isJsonPrimitive() || !value.getAsJsonPrimitive().isBoolean()) {
      throw new InvalidConfigException(path, "is neither true nor false");
    }
    return value.getAsBoolean();
  }

  private static double numberField(JsonObject json, String path, double defaultValue, double max)
      throws InvalidConfigException {
    JsonElement value = json.get(path.substring(path.indexOf('.') + 1));
    if (value == null) {
      return defaultValue;
    }
    boolean isNumber = value.isJsonPrimitive() && value.getAsJsonPrimitive().isNumber();
    if (!isNumber || !(value.getAsDouble() >= 0 && value.getAsDouble() <= max)) {
      throw new InvalidConfigException(path, "is no number from 0 to " + (long) max);
    }
    return value.getAsDouble();
  }
}
