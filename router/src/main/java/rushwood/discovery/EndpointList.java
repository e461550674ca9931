package rushwood.discovery;

import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import rushwood.api.Endpoint;
import rushwood.dispatch.EndpointAddress;
import rushwood.dispatch.PartialEndpoint;

/**
 * An endpoint list from discovery.
 *
 * @param version the agent's version of the list, never negative; empty if it is missing or invalid
 * @param complete whether this is the complete list rather than only the changed entries
 * @param unchanged whether it equals the current list; its entries are then not decoded
 * @param checksum hash of the list's JSON without white space outside strings; 0 for a list from
 *     {@link EndpointListParser#decode}
 * @param endpoints the valid entries
 * @param partialEndpoints the host and state of those invalid entries whose host can be read
 * @param problems descriptions of what is invalid, at most 20, each with the name of the field
 */
public record EndpointList(
    OptionalLong version,
    boolean complete,
    boolean unchanged,
    long checksum,
    List<EndpointAddress> endpoints,
    List<PartialEndpoint> partialEndpoints,
    List<String> problems) {

  /** Creates a complete list that equals the cached list of this version. */
  static EndpointList unchanged(long version, long checksum) {
    return new EndpointList(
        OptionalLong.of(version), true, true, checksum, List.of(), List.of(), List.of());
  }

  /** Returns whether the whole list is valid. */
  boolean isWellFormed() {
    return problems.isEmpty();
  }

  /** Returns the draining and removed endpoints, those of invalid entries first. */
  List<PartialEndpoint> leavingEndpoints() {
    return leavingEndpoints(endpoints, partialEndpoints);
  }

  /** Returns the draining and removed ones among these endpoints, the partial ones first. */
  static List<PartialEndpoint> leavingEndpoints(
      List<EndpointAddress> endpoints, List<PartialEndpoint> partialEndpoints) {
    Stream<PartialEndpoint> decoded =
        endpoints.stream()
            .map(EndpointAddress::endpoint)
            .map(endpoint -> new PartialEndpoint(endpoint.id(), endpoint.state()));
    return Stream.concat(partialEndpoints.stream(), decoded)
        .filter(partial -> isLeaving(partial.state()))
        .toList();
  }

  private static boolean isLeaving(Endpoint.@Nullable State state) {
    return state == Endpoint.State.DRAINING || state == Endpoint.State.REMOVED;
  }
}
