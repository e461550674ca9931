package rushwood.testbed.standin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import rushwood.api.Endpoint;

/**
 * An endpoint as the list of a {@link StandinDiscovery} has it.
 *
 * @param address where its host listens
 * @param startedMillis when its process started, in Unix time; 0 for long ago
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

  ObjectNode toJson() {
    return JsonNodeFactory.instance
        .objectNode()
        .put("id", id)
        .put("addr", Loopback.format(address))
        .put("zone", ZONE)
        .put("cell", group)
        .put("state", stateWord())
        .put("weight", WEIGHT)
        .put("started_ms", startedMillis)
        .put("part", roleWord(isPrimary));
  }

  private String stateWord() {
    return switch (state) {
      case READY -> "Ready";
      case DRAINING -> "Terminating";
      case REMOVED -> "Gone";
    };
  }

  /** The word for a host's role, in the endpoint list and in a host's own messages. */
  static String roleWord(boolean isPrimary) {
    return isPrimary ? "master" : "replica";
  }
}
