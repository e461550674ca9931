package rushwood.lifecycle;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rushwood.adapter.BadLine;
import rushwood.adapter.Conf;
import rushwood.api.RoutingSettings;
import rushwood.wire.ListReader;

/**
 * What a router is told at start. Times in nanoseconds; {@code known} is null if no list was held,
 * {@code grace} is the time within which sends to a leaving host have to end.
 */
public record Config(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    long seed,
    int sockets,
    ListReader.Listing known,
    RoutingSettings settings,
    long openWithin,
    long idleFor,
    long longestOuterLimit,
    long grace) {
  private static final String GRACE = "rules.drain_grace";
  private static final long SHORTEST_GRACE =
      250_000_000L; // where none is set: the shortest of any deployment known

  /**
   * A new file that replaces the one read at start: what the variables said then does not outrank
   * it.
   */
  public static Config reread(Map<String, String> environment) throws BadConfig {
    Map<String, String> left = new HashMap<>(environment);
    left.remove("NODE_DISCOVERY");
    return read(left);
  }

  /**
   * What differs in a new file but takes a restart, by its fields. The seed and the list are new
   * with each.
   */
  List<String> fixed(Config next) {
    List<String> fields = new ArrayList<>();
    note(fields, "name", name, next.name);
    note(fields, "listen", listen, next.listen);
    note(fields, "limits.sockets", sockets, next.sockets);
    note(
        fields,
        "settings",
        List.of(settings, openWithin, idleFor),
        List.of(next.settings, next.openWithin, next.idleFor));
    return fields;
  }

  private static void note(List<String> fields, String field, Object is, Object next) {
    if (!is.equals(next)) {
      fields.add(field);
    }
  }

  /** Reads the file that NODE_CONFIG names; the other variables come before what it says. */
  public static Config read(Map<String, String> environment) throws BadConfig {
    String file = environment.get("NODE_CONFIG");
    if (file == null || file.isEmpty()) {
      throw new BadConfig("NODE_CONFIG", "is missing");
    }
    JsonObject json;
    try {
      json = JsonParser.parseString(Files.readString(Path.of(file))).getAsJsonObject();
    } catch (IOException | InvalidPathException e) {
      throw new BadConfig("NODE_CONFIG", "names a file that cannot be read: " + e.getMessage());
    } catch (RuntimeException e) {
      throw new BadConfig("NODE_CONFIG", "names a file that is no JSON object");
    }
    Map<String, String> pairs = new LinkedHashMap<>();
    flatten("", object(json, "settings"), pairs);
    try {
      Conf conf = new Conf(pairs, (field, why) -> new BadLine("settings." + field + " " + why));
      return new Config(
          text(environment, json, "NODE_NAME", "name"),
          address(environment, json, "NODE_LISTEN", "listen"),
          address(environment, json, "NODE_DISCOVERY", "discovery"),
          seed(json),
          sockets(json),
          known(json),
          conf.settings(),
          conf.time("limits.dial_timeout"),
          conf.time("limits.conn_idle"),
          conf.longestOuterLimit(),
          pairs.containsKey(GRACE) ? Math.max(0, conf.time(GRACE)) : SHORTEST_GRACE);
    } catch (BadLine e) {
      throw bad(e);
    }
  }

  /**
   * What this router held before serves until the list comes: of a bad one what can be read, never
   * no start.
   */
  private static ListReader.Listing known(JsonObject json) {
    JsonElement known = json.get("known");
    return known == null || known.isJsonNull()
        ? null
        : ListReader.read(known.isJsonObject() ? known.getAsJsonObject() : new JsonObject());
  }

  /** Nested objects and lists as the pairs of path and value that the simulator's wire has. */
  private static void flatten(String path, JsonElement value, Map<String, String> pairs) {
    if (value.isJsonObject()) {
      value
          .getAsJsonObject()
          .entrySet()
          .forEach(
              each ->
                  flatten(
                      path.isEmpty() ? each.getKey() : path + "." + each.getKey(),
                      each.getValue(),
                      pairs));
    } else if (value.isJsonArray()) {
      flattenList(path, value, pairs);
    } else if (value.isJsonPrimitive()) {
      pairs.put(path, value.getAsString());
    }
  }

  private static void flattenList(String path, JsonElement list, Map<String, String> pairs) {
    int count = 0;
    StringBuilder plain = new StringBuilder();
    boolean objects = false;
    for (JsonElement each : list.getAsJsonArray()) {
      if (each.isJsonPrimitive()) {
        plain.append(count == 0 ? "" : ",").append(each.getAsString());
      } else {
        objects = true;
        flatten(path + "." + count, each, pairs);
      }
      count++;
    }
    pairs.put(
        objects ? path + ".count" : path, objects ? Integer.toString(count) : plain.toString());
  }

  /** The decisions' part of the object "settings" of a configuration. */
  public static RoutingSettings settings(String json) throws BadConfig {
    Map<String, String> pairs = new LinkedHashMap<>();
    flatten("", JsonParser.parseString(json), pairs);
    try {
      return new Conf(pairs, (field, why) -> new BadLine("settings." + field + " " + why))
          .settings();
    } catch (BadLine e) {
      throw bad(e);
    }
  }

  private static BadConfig bad(BadLine line) {
    int space = line.getMessage().indexOf(' ');
    return new BadConfig(
        line.getMessage().substring(0, space), line.getMessage().substring(space + 1));
  }

  private static JsonObject object(JsonObject json, String field) throws BadConfig {
    JsonElement value = json.get(field);
    if (value == null || !value.isJsonObject()) {
      throw new BadConfig(field, "is missing or no object");
    }
    return value.getAsJsonObject();
  }

  private static String text(
      Map<String, String> environment, JsonObject json, String variable, String field)
      throws BadConfig {
    String given = environment.get(variable);
    if (given != null && !given.isEmpty()) {
      return given;
    }
    JsonElement value = json.get(field);
    if (value == null || !value.isJsonPrimitive() || value.getAsString().isEmpty()) {
      throw new BadConfig(field, "is missing");
    }
    return value.getAsString();
  }

  private static InetSocketAddress address(
      Map<String, String> environment, JsonObject json, String variable, String field)
      throws BadConfig {
    try {
      return ListReader.address(text(environment, json, variable, field));
    } catch (IllegalArgumentException e) {
      throw new BadConfig(field, "is no address");
    }
  }

  private static long seed(JsonObject json) throws BadConfig {
    try {
      return Long.parseUnsignedLong(text(Map.of(), json, "", "seed"), 16);
    } catch (NumberFormatException e) {
      throw new BadConfig("seed", "is no hexadecimal number");
    }
  }

  private static int sockets(JsonObject json) throws BadConfig {
    JsonElement value = object(json, "limits").get("sockets");
    try {
      return value.getAsInt();
    } catch (RuntimeException e) {
      throw new BadConfig("limits.sockets", "is missing or no number");
    }
  }
}
