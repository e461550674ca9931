package rushwood.config;

import com.google.gson.JsonParser;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import rushwood.api.RoutingSettings;
import rushwood.discovery.EndpointList;

/**
 * What the platform gives to a router process, in the file that the variable {@code NODE_CONFIG}
 * names. Times are in nanoseconds.
 *
 * @param name the router's name in its log
 * @param listenAddress where clients connect
 * @param discoveryAddress where the endpoint list comes from
 * @param seed of all random choices
 * @param maxSockets how many descriptors the process may have open
 * @param lastKnownEndpoints the list that this router held before it was restarted
 * @param settings what the routing policy reads
 * @param connectTimeoutNanos the longest that a connection to a backend may take to open
 * @param idleTimeoutNanos after how long a backend closes an idle connection
 * @param maxRequestTimeoutNanos the longest that any client waits for an answer
 * @param drainGraceNanos the time after which a draining or removed endpoint may get nothing new
 */
public record RouterConfig(
    String name,
    InetSocketAddress listenAddress,
    InetSocketAddress discoveryAddress,
    long seed,
    int maxSockets,
    Optional<EndpointList> lastKnownEndpoints,
    RoutingSettings settings,
    long connectTimeoutNanos,
    long idleTimeoutNanos,
    long maxRequestTimeoutNanos,
    long drainGraceNanos) {

  /**
   * Reads the file that {@code NODE_CONFIG} names. The variables {@code NODE_NAME}, {@code
   * NODE_LISTEN} and {@code NODE_DISCOVERY} take precedence over it.
   *
   * @throws InvalidConfigException for the first field that is missing or cannot be read
   */
  public static RouterConfig read(Map<String, String> environment) throws InvalidConfigException {
    return RouterConfigFile.open(environment).decode();
  }

  /**
   * Reads the file again while the router runs. {@code NODE_DISCOVERY} is ignored: from the first
   * reload on the address of discovery is that of the file, even if the file has not changed.
   *
   * @throws InvalidConfigException for the first field that is missing or cannot be read
   */
  public static RouterConfig readForReload(Map<String, String> environment)
      throws InvalidConfigException {
    Map<String, String> variables = new HashMap<>(environment);
    variables.remove(RouterConfigFile.DISCOVERY_VARIABLE);
    return read(variables);
  }

  /**
   * Decodes what the routing policy reads from the object {@code settings} of a configuration.
   *
   * @throws InvalidConfigException for the first field that is missing or cannot be read
   * @throws com.google.gson.JsonParseException if {@code json} is no JSON
   */
  public static RoutingSettings decodeSettings(String json) throws InvalidConfigException {
    return RouterConfigFile.settingsDecoder(JsonParser.parseString(json)).decodeSettings();
  }

  /**
   * Returns the fields that differ in {@code newConfig} and cannot be changed while the router
   * runs. The seed and the last known endpoints are new in every file and do not count.
   */
  public List<String> fieldsRequiringRestart(RouterConfig newConfig) {
    List<String> fields = new ArrayList<>();
    addIfChanged(fields, "name", name, newConfig.name);
    addIfChanged(fields, "listen", listenAddress, newConfig.listenAddress);
    addIfChanged(fields, "limits.sockets", maxSockets, newConfig.maxSockets);
    addIfChanged(
        fields,
        "settings",
        List.of(settings, connectTimeoutNanos, idleTimeoutNanos),
        List.of(newConfig.settings, newConfig.connectTimeoutNanos, newConfig.idleTimeoutNanos));
    return fields;
  }

  private static void addIfChanged(
      List<String> fields, String field, Object current, Object newValue) {
    if (!current.equals(newValue)) {
      fields.add(field);
    }
  }
}
