package rushwood.discovery;

import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import rushwood.api.Endpoint;
import rushwood.dispatch.EndpointAddress;
import rushwood.dispatch.PartialEndpoint;

/**
 * One list that discovery sent.
 *
 * @param version the agent's version of the list, never negative; empty if it cannot be read
 * @param complete whether this is the complete list, not only the entries that changed
 * @param unchanged whether it equals the list in force; its entries were then not decoded
 * @param checksum equal for lists of equal content, whatever their white space
 * @param endpoints the entries that could be decoded
 * @param partialEndpoints what could be read of the other entries
 * @param problems what could not be read, twenty problems at most, each with the field's name
 */
public record EndpointList(
    OptionalLong version,
    boolean complete,
    boolean unchanged,
    long checksum,
    List<EndpointAddress> endpoints,
    List<PartialEndpoint> partialEndpoints,
    List<String> problems) {

  /** The complete list, equal to the cached one of that version. */
  static EndpointList unchanged(long version, long checksum) {
    return new EndpointList(
        OptionalLong.of(version), true, true, checksum, List.of(), List.of(), List.of());
  }

  /** Whether all of it could be read. */
  boolean isWellFormed() {
    return problems.isEmpty();
  }

  /** The entries that are draining or removed, those that could be read only in part first. */
  List<PartialEndpoint> leavingEndpoints() {
    return leavingEndpoints(endpoints, partialEndpoints);
  }

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
