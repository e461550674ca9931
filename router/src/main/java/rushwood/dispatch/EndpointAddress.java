package rushwood.dispatch;

import java.net.InetSocketAddress;
import rushwood.api.Endpoint;

/** An endpoint as listed by discovery, and the address that its host listens on. */
public record EndpointAddress(Endpoint endpoint, InetSocketAddress address) {

  /** Returns a copy of this entry with the given lifecycle state. */
  EndpointAddress withState(Endpoint.State state) {
    Endpoint changed =
        new Endpoint(
            endpoint.id(),
            endpoint.group(),
            endpoint.zone(),
            endpoint.weight(),
            endpoint.startedAt(),
            endpoint.primary(),
            state);
    return new EndpointAddress(changed, address);
  }
}
