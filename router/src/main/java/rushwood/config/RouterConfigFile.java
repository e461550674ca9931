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

/** The configuration file of a router, with the environment variables that precede its fields. */
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
   * @throws InvalidConfigException if the variable is missing, or the file is missing or no JSON
   *     object
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
    } catch (JsonParseException | IllegalStateException e) { // no JSON, or JSON but no object
      throw new InvalidConfigException(FILE_VARIABLE, "names a file that is no JSON object");
    }
  }

  /**
   * Decodes the whole configuration.
   *
   * @throws InvalidConfigException for the first field that is missing or cannot be read
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

  static SettingsDecoder settingsDecoder(JsonElement settings) {
    return new SettingsDecoder(JsonFlattener.flatten(settings), SETTINGS + ".");
  }

  /**
   * Decodes the last known endpoint list. A malformed one is used as far as it can be read and
   * never prevents the start.
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
        .orElseThrow(() -> new InvalidConfigException(field, "is no address"));
  }

  private long seed() throws InvalidConfigException {
    try {
      return Long.parseUnsignedLong(text("seed"), SEED_RADIX);
    } catch (NumberFormatException e) {
      throw new InvalidConfigException("seed", "is no hexadecimal number");
    }
  }

  private int maxSockets() throws InvalidConfigException {
    JsonElement value = object("limits").get("sockets");
    try {
      if (value != null) {
        return value.getAsInt();
      }
    } catch (NumberFormatException | UnsupportedOperationException | IllegalStateException e) {
      // no number, an object or null, a list: reported below like a missing field
    }
    throw new InvalidConfigException("limits.sockets", "is missing or no number");
  }

  private JsonObject object(String field) throws InvalidConfigException {
    JsonElement value = root.get(field);
    if (value == null || !value.isJsonObject()) {
      throw new InvalidConfigException(field, "is missing or no object");
    }
    return value.getAsJsonObject();
  }

  /** Returns the value of the variable, or of the field if the variable is not set. */
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
