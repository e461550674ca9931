package rushwood.dispatch;

import rushwood.api.Endpoint;
import rushwood.api.HostId;

/**
 * What can be read of a list entry that is malformed as a whole.
 *
 * @param id the host that the entry names
 * @param state the host's lifecycle state, or null if it cannot be read
 */
public record PartialEndpoint(HostId id, Endpoint.State state) {

  /** Whether the lifecycle state could be read; if not, the host keeps the state that it has. */
  boolean hasState() {
    return state != null;
  }
}
