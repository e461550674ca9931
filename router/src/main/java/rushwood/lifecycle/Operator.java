package rushwood.lifecycle;

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
public record Operator(OverloadSettings storm, String jsonLog) {
  private static final String DEFAULT = "deploy/rushwood.json";
  public static final Operator NONE = new Operator(OverloadSettings.DEFAULT, null);

  public static Operator read(Map<String, String> environment) throws BadConfig {
    String named = environment.get("RUSHWOOD_SETTINGS");
    boolean given = named != null && !named.isEmpty();
    try {
      Path file = Path.of(given ? named : DEFAULT);
      return !given && !Files.exists(file) ? NONE : parse(Files.readString(file));
    } catch (IOException | InvalidPathException e) {
      throw new BadConfig(
          "RUSHWOOD_SETTINGS", "names a file that cannot be read: " + e.getMessage());
    }
  }

  static Operator parse(String text) throws BadConfig {
    JsonObject json;
    try {
      json = JsonParser.parseString(text).getAsJsonObject();
    } catch (RuntimeException e) {
      throw new BadConfig("rushwood.json", "is no JSON object");
    }
    known("", json, List.of("storm", "log"));
    JsonObject storm = part(json, "storm");
    known("storm.", storm, List.of("calendar", "pace_dials", "repeats", "repeats_floor", "doubts"));
    JsonObject log = part(json, "log");
    known("log.", log, List.of("format", "file"));
    OverloadSettings otherwise = OverloadSettings.DEFAULT;
    return new Operator(
        new OverloadSettings(
            flag(storm, "storm.calendar", otherwise.retryAfterSchedule()),
            flag(storm, "storm.pace_dials", otherwise.connectBackoff()),
            number(storm, "storm.repeats", otherwise.retriesPerFirstAttempt(), 10),
            number(storm, "storm.repeats_floor", otherwise.minRetriesPerSecond(), 1e6),
            flag(storm, "storm.doubts", otherwise.failAmbiguousWrites())),
        json(log));
  }

  /**
   * The file of a structured log, which the logging library must be able to seek in: standard
   * output is none.
   */
  private static String json(JsonObject log) throws BadConfig {
    String format = text(log, "format", "lines");
    String file = text(log, "file", "");
    if (!format.equals("lines") && !format.equals("json")) {
      throw new BadConfig("log.format", "is neither lines nor json");
    }
    if (format.equals("json") == file.isEmpty()) {
      throw new BadConfig(
          "log.file", file.isEmpty() ? "is missing" : "goes with the format json only");
    }
    return file.isEmpty() ? null : file;
  }

  private static String text(JsonObject json, String field, String otherwise) throws BadConfig {
    JsonElement value = json.get(field);
    if (value != null && (!value.isJsonPrimitive() || !value.getAsJsonPrimitive().isString())) {
      throw new BadConfig("log." + field, "is no text");
    }
    return value == null ? otherwise : value.getAsString();
  }

  private static void known(String path, JsonObject json, List<String> fields) throws BadConfig {
    for (String field : json.keySet()) {
      if (!fields.contains(field)) {
        throw new BadConfig(path + field, "is no setting");
      }
    }
  }

  private static JsonObject part(JsonObject json, String field) throws BadConfig {
    JsonElement value = json.get(field);
    if (value != null && !value.isJsonObject()) {
      throw new BadConfig(field, "is no object");
    }
    return value == null ? new JsonObject() : value.getAsJsonObject();
  }

  private static boolean flag(JsonObject json, String path, boolean otherwise) throws BadConfig {
    JsonElement value = json.get(path.substring(path.indexOf('.') + 1));
    if (value == null) {
      return otherwise;
    }
    if (!value.isJsonPrimitive() || !value.getAsJsonPrimitive().isBoolean()) {
      throw new BadConfig(path, "is neither true nor false");
    }
    return value.getAsBoolean();
  }

  private static double number(JsonObject json, String path, double otherwise, double most)
      throws BadConfig {
    JsonElement value = json.get(path.substring(path.indexOf('.') + 1));
    if (value == null) {
      return otherwise;
    }
    boolean is = value.isJsonPrimitive() && value.getAsJsonPrimitive().isNumber();
    if (!is || !(value.getAsDouble() >= 0 && value.getAsDouble() <= most)) {
      throw new BadConfig(path, "is no number from 0 to " + (long) most);
    }
    return value.getAsDouble();
  }
}
