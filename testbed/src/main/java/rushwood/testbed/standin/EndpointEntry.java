package rushwood.testbed.standin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import rushwood.api.Endpoint;

/**
 * An endpoint in the list of a {@link StandinDiscovery}.
 *
 * @param id the id under which discovery lists the host
 * @param address the address on which the host listens
 * @param group the number of the host's group
 * @param startedMillis the Unix time at which the host's process started, in milliseconds; 0 for
 *     long ago
 */
public record EndpointEntry(
    String id,
    InetSocketAddress address,
    int group,
    Endpoint.State state,
    long startedMillis,
    boolean isPrimary) {
  private static final String ZONE = "a";
  private static final double WEIGHT = 1;

  /** Returns the endpoint in the JSON format of the discovery agent. */
  ObjectNode toJson() {
    return JsonNodeFactory.instance
        .objectNode()
        .put("id", id)
        .put("addr", Loopback.format(address))
        .put("zone", ZONE)
        .put("cell", group)
        .put("state", formatState())
        .put("weight", WEIGHT)
        .put("started_ms", startedMillis)
        .put("part", formatRole(isPrimary));
  }

  private String formatState() {
    return switch (state) {
      case READY -> "Ready";
      case DRAINING -> "Terminating";
      case REMOVED -> "Gone";
    };
  }

  /** Returns a host's role as the endpoint list and the host's own messages write it. */
  static String formatRole(boolean isPrimary) {
    return isPrimary ? "master" : "replica";
  }
}
