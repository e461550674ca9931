package rushwood.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import rushwood.discovery.EndpointAddressParser;
import rushwood.discovery.EndpointList;
import rushwood.discovery.EndpointListParser;

/** The configuration file of a router, some of whose fields environment variables override. */
final class RouterConfigFile {
  static final String DISCOVERY_VARIABLE = "NODE_DISCOVERY";
  private static final String FILE_VARIABLE = "NODE_CONFIG";
  private static final String NAME_VARIABLE = "NODE_NAME";
  private static final String LISTEN_VARIABLE = "NODE_LISTEN";

  private static final String SETTINGS = "settings";
  private static final int SEED_RADIX = 16;

  private final Map<String, String> environment;
  private final JsonObject root;

  private RouterConfigFile(Map<String, String> environment, JsonObject root) {
    this.environment = environment;
    this.root = root;
  }

  /**
   * Reads the file that {@code NODE_CONFIG} names.
   *
   * @throws InvalidConfigException if the variable is not set, or the file cannot be read or is not
   *     a JSON object
   */
  static RouterConfigFile open(Map<String, String> environment) throws InvalidConfigException {
    String file = environment.get(FILE_VARIABLE);
    if (file == null || file.isEmpty()) {
      throw new InvalidConfigException(FILE_VARIABLE, "is missing");
    }
    try {
      String text = Files.readString(Path.of(file));
      return new RouterConfigFile(environment, JsonParser.parseString(text).getAsJsonObject());
    } catch (IOException | InvalidPathException e) {
      throw new InvalidConfigException(
          FILE_VARIABLE, "names a file that cannot be read: " + e.getMessage());
    } catch (JsonParseException | IllegalStateException e) { // not JSON, or not an object
      throw new InvalidConfigException(FILE_VARIABLE, "names a file that is not a JSON object");
    }
  }

  /**
   * Decodes the whole configuration.
   *
   * @throws InvalidConfigException for the first field that is missing or invalid
   */
  RouterConfig decode() throws InvalidConfigException {
    SettingsDecoder settings = settingsDecoder(object(SETTINGS));
    return new RouterConfig(
        text("name", NAME_VARIABLE),
        address("listen", LISTEN_VARIABLE),
        address("discovery", DISCOVERY_VARIABLE),
        seed(),
        maxSockets(),
        lastKnownEndpoints(),
        settings.decodeSettings(),
        settings.connectTimeoutNanos(),
        settings.idleTimeoutNanos(),
        settings.maxRequestTimeoutNanos(),
        settings.drainGraceNanos());
  }

  /** Returns a decoder for the object {@code settings} of a configuration file. */
  static SettingsDecoder settingsDecoder(JsonElement settings) {
    return new SettingsDecoder(JsonFlattener.flatten(settings), SETTINGS + ".");
  }

  /**
   * Decodes the last known endpoint list. A malformed list never prevents the router from starting:
   * the readable part of it is used.
   */
  private Optional<EndpointList> lastKnownEndpoints() {
    JsonElement known = root.get("known");
    if (known == null || known.isJsonNull()) {
      return Optional.empty();
    }
    JsonObject list = known.isJsonObject() ? known.getAsJsonObject() : new JsonObject();
    return Optional.of(EndpointListParser.decode(list));
  }

  private InetSocketAddress address(String field, String variable) throws InvalidConfigException {
    return EndpointAddressParser.parse(text(field, variable))
        .orElseThrow(() -> new InvalidConfigException(field, "is not an IP address and port"));
  }

  private long seed() throws InvalidConfigException {
    try {
      return Long.parseUnsignedLong(text("seed"), SEED_RADIX);
    } catch (NumberFormatException e) {
      throw new InvalidConfigException("seed", "is not a hexadecimal number");
    }
  }

  private int maxSockets() throws InvalidConfigException {
    JsonElement value = object("limits").get("sockets");
    try {
      if (value != null) {
        return value.getAsInt();
      }
    } catch (NumberFormatException | UnsupportedOperationException | IllegalStateException e) {
      // not a number, an object or null, or an array: reported below like a missing field
    }
    throw new InvalidConfigException("limits.sockets", "is missing or not a number");
  }

  private JsonObject object(String field) throws InvalidConfigException {
    JsonElement value = root.get(field);
    if (value == null || !value.isJsonObject()) {
      throw new InvalidConfigException(field, "is missing or not an object");
    }
    return value.getAsJsonObject();
  }

  /** Returns the value of the environment variable, or of the field if it is not set. */
  private String text(String field, String variable) throws InvalidConfigException {
    String override = environment.get(variable);
    return override != null && !override.isEmpty() ? override : text(field);
  }

  private String text(String field) throws InvalidConfigException {
    JsonElement value = root.get(field);
    if (value == null || !value.isJsonPrimitive() || value.getAsString().isEmpty()) {
      throw new InvalidConfigException(field, "is missing");
    }
    return value.getAsString();
  }
}
