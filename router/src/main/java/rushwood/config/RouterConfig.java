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
 * The configuration of a router process, which the platform provides in the file that the
 * environment variable {@code NODE_CONFIG} names.
 *
 * @param name the name of the router
 * @param listenAddress the address on which the router accepts clients
 * @param discoveryAddress the address of the discovery agent
 * @param seed the seed of all random choices
 * @param maxSockets the number of file descriptors that the process may have open
 * @param lastKnownEndpoints the endpoint list that the router held before it was restarted; empty
 *     if there is none
 * @param settings the settings of the routing policy
 * @param connectTimeoutNanos how long opening a connection to a host may take
 * @param idleTimeoutNanos the time after which a host closes an idle connection
 * @param maxRequestTimeoutNanos the longest time that clients of any request class wait for an
 *     answer
 * @param drainGraceNanos the time after which a draining or removed endpoint must not get any new
 *     requests
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
   * Reads the file that {@code NODE_CONFIG} names. The environment variables {@code NODE_NAME},
   * {@code NODE_LISTEN} and {@code NODE_DISCOVERY} take precedence over its fields.
   *
   * @param environment the environment variables of the process
   * @throws InvalidConfigException for the first field that is missing or invalid
   */
  public static RouterConfig read(Map<String, String> environment) throws InvalidConfigException {
    return RouterConfigFile.open(environment).decode();
  }

  /**
   * Reads the file again while the router runs. {@code NODE_DISCOVERY} is ignored: from the first
   * reload on, the address of the discovery agent is the one in the file, even if the file has not
   * changed.
   *
   * @param environment the environment variables of the process
   * @throws InvalidConfigException for the first field that is missing or invalid
   */
  public static RouterConfig readForReload(Map<String, String> environment)
      throws InvalidConfigException {
    Map<String, String> variables = new HashMap<>(environment);
    variables.remove(RouterConfigFile.DISCOVERY_VARIABLE);
    return read(variables);
  }

  /**
   * Decodes the settings of the routing policy.
   *
   * @param json the object that the configuration file has in its field {@code settings}
   * @throws InvalidConfigException for the first field that is missing or invalid
   * @throws com.google.gson.JsonParseException if {@code json} is not valid JSON
   */
  public static RoutingSettings decodeSettings(String json) throws InvalidConfigException {
    return RouterConfigFile.settingsDecoder(JsonParser.parseString(json)).decodeSettings();
  }

  /**
   * Returns the fields that are different in {@code newConfig} but take effect only at a restart.
   * The seed and the last known endpoints are not compared, because they differ in every file.
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
