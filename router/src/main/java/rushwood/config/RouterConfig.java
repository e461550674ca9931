package rushwood.config;

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
import rushwood.api.RoutingSettings;
import rushwood.discovery.EndpointListParser;
import rushwood.simulator.MalformedMessageException;

/**
 * What a router is told at start. Times in nanoseconds; {@code known} is null if no list was held,
 * {@code grace} is the time within which sends to a leaving host have to end.
 */
public record RouterConfig(
    String name,
    InetSocketAddress listenAddress,
    InetSocketAddress discoveryAddress,
    long seed,
    int maxSockets,
    EndpointListParser.EndpointList lastKnownEndpoints,
    RoutingSettings settings,
    long connectTimeoutNanos,
    long idleTimeoutNanos,
    long maxRequestTimeoutNanos,
    long drainGraceNanos) {
  private static final String DRAIN_GRACE = "rules.drain_grace";
  private static final long DEFAULT_DRAIN_GRACE_NANOS =
      250_000_000L; // where none is set: the shortest of any deployment known

  /**
   * A new file that replaces the one read at start: what the variables said then does not outrank
   * it.
   */
  public static RouterConfig readForReload(Map<String, String> environment)
      throws InvalidConfigException {
    Map<String, String> remaining = new HashMap<>(environment);
    remaining.remove("NODE_DISCOVERY");
    return read(remaining);
  }

  /**
   * What differs in a new file but takes a restart, by its fields. The seed and the list are new
   * with each.
   */
  public List<String> fieldsRequiringRestart(RouterConfig next) {
    List<String> fields = new ArrayList<>();
    addIfChanged(fields, "name", name, next.name);
    addIfChanged(fields, "listen", listenAddress, next.listenAddress);
    addIfChanged(fields, "limits.sockets", maxSockets, next.maxSockets);
    addIfChanged(
        fields,
        "settings",
        List.of(settings, connectTimeoutNanos, idleTimeoutNanos),
        List.of(next.settings, next.connectTimeoutNanos, next.idleTimeoutNanos));
    return fields;
  }

  private static void addIfChanged(List<String> fields, String field, Object current, Object next) {
    if (!current.equals(next)) {
      fields.add(field);
    }
  }

  /** Reads the file that NODE_CONFIG names; the other variables come before what it says. */
  public static RouterConfig read(Map<String, String> environment) throws InvalidConfigException {
    String file = environment.get("NODE_CONFIG");
    if (file == null || file.isEmpty()) {
      throw new InvalidConfigException("NODE_CONFIG", "is missing");
    }
    JsonObject json;
    try {
      json = JsonParser.parseString(Files.readString(Path.of(file))).getAsJsonObject();
    } catch (IOException | InvalidPathException e) {
      throw new InvalidConfigException(
          "NODE_CONFIG", "names a file that cannot be read: " + e.getMessage());
    } catch (RuntimeException e) {
      throw new InvalidConfigException("NODE_CONFIG", "names a file that is no JSON object");
    }
    Map<String, String> pairs = new LinkedHashMap<>();
    flatten("", object(json, "settings"), pairs);
    try {
      SettingsDecoder decoder =
          new SettingsDecoder(
              pairs,
              (field, why) -> new MalformedMessageException("settings." + field + " " + why));
      return new RouterConfig(
          text(environment, json, "NODE_NAME", "name"),
          address(environment, json, "NODE_LISTEN", "listen"),
          address(environment, json, "NODE_DISCOVERY", "discovery"),
          seed(json),
          maxSockets(json),
          lastKnownEndpoints(json),
          decoder.decodeSettings(),
          decoder.nanos("limits.dial_timeout"),
          decoder.nanos("limits.conn_idle"),
          decoder.maxRequestTimeoutNanos(),
          pairs.containsKey(DRAIN_GRACE)
              ? Math.max(0, decoder.nanos(DRAIN_GRACE))
              : DEFAULT_DRAIN_GRACE_NANOS);
    } catch (MalformedMessageException e) {
      throw invalidConfig(e);
    }
  }

  /**
   * What this router held before serves until the list comes: of a bad one what can be read, never
   * no start.
   */
  private static EndpointListParser.EndpointList lastKnownEndpoints(JsonObject json) {
    JsonElement known = json.get("known");
    return known == null || known.isJsonNull()
        ? null
        : EndpointListParser.decode(
            known.isJsonObject() ? known.getAsJsonObject() : new JsonObject());
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
    StringBuilder joined = new StringBuilder();
    boolean objects = false;
    for (JsonElement each : list.getAsJsonArray()) {
      if (each.isJsonPrimitive()) {
        joined.append(count == 0 ? "" : ",").append(each.getAsString());
      } else {
        objects = true;
        flatten(path + "." + count, each, pairs);
      }
      count++;
    }
    pairs.put(
        objects ? path + ".count" : path, objects ? Integer.toString(count) : joined.toString());
  }

  /** The decisions' part of the object "settings" of a configuration. */
  public static RoutingSettings settings(String json) throws InvalidConfigException {
    Map<String, String> pairs = new LinkedHashMap<>();
    flatten("", JsonParser.parseString(json), pairs);
    try {
      return new SettingsDecoder(
              pairs, (field, why) -> new MalformedMessageException("settings." + field + " " + why))
          .decodeSettings();
    } catch (MalformedMessageException e) {
      throw invalidConfig(e);
    }
  }

  private static InvalidConfigException invalidConfig(MalformedMessageException line) {
    int space = line.getMessage().indexOf(' ');
    return new InvalidConfigException(
        line.getMessage().substring(0, space), line.getMessage().substring(space + 1));
  }

  private static JsonObject object(JsonObject json, String field) throws InvalidConfigException {
    JsonElement value = json.get(field);
    if (value == null || !value.isJsonObject()) {
      throw new InvalidConfigException(field, "is missing or no object");
    }
    return value.getAsJsonObject();
  }

  private static String text(
      Map<String, String> environment, JsonObject json, String variable, String field)
      throws InvalidConfigException {
    String override = environment.get(variable);
    if (override != null && !override.isEmpty()) {
      return override;
    }
    JsonElement value = json.get(field);
    if (value == null || !value.isJsonPrimitive() || value.getAsString().isEmpty()) {
      throw new InvalidConfigException(field, "is missing");
    }
    return value.getAsString();
  }

  private static InetSocketAddress address(
      Map<String, String> environment, JsonObject json, String variable, String field)
      throws InvalidConfigException {
    try {
      return EndpointListParser.parseAddress(text(environment, json, variable, field));
    } catch (IllegalArgumentException e) {
      throw new InvalidConfigException(field, "is no address");
    }
  }

  private static long seed(JsonObject json) throws InvalidConfigException {
    try {
      return Long.parseUnsignedLong(text(Map.of(), json, "", "seed"), 16);
    } catch (NumberFormatException e) {
      throw new InvalidConfigException("seed", "is no hexadecimal number");
    }
  }

  private static int maxSockets(JsonObject json) throws InvalidConfigException {
    JsonElement value = object(json, "limits").get("sockets");
    try {
      return value.getAsInt();
    } catch (RuntimeException e) {
      throw new InvalidConfigException("limits.sockets", "is missing or no number");
    }
  }
}
