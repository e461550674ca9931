package rushwood.dispatch;

import org.jspecify.annotations.Nullable;
import rushwood.api.Endpoint;
import rushwood.api.HostId;

/**
 * What can be read of a list entry that is malformed as a whole.
 *
 * @param id the host that the entry names
 * @param state the host's lifecycle state, if it can be read
 */
public record PartialEndpoint(HostId id, Endpoint.@Nullable State state) {

  /** What is known of the host, in the state that could be read; if none could, in its old one. */
  EndpointAddress update(EndpointAddress known) {
    return state == null ? known : known.withState(state);
  }
}
