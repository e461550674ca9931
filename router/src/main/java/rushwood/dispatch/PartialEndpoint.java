package rushwood.dispatch;

import org.jspecify.annotations.Nullable;
import rushwood.api.Endpoint;
import rushwood.api.HostId;

/**
 * The readable fields of a malformed entry of an endpoint list.
 *
 * @param id the host that the entry names
 * @param state the host's lifecycle state; null if it cannot be read
 */
public record PartialEndpoint(HostId id, Endpoint.@Nullable State state) {

  /**
   * Returns the known entry of the host with this state, or unchanged if no state could be read.
   */
  EndpointAddress applyTo(EndpointAddress known) {
    return state == null ? known : known.withState(state);
  }
}
