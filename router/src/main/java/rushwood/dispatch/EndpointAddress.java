package rushwood.dispatch;

import java.net.InetSocketAddress;
import rushwood.api.Endpoint;

/** An endpoint as discovery lists it, and the address that its host listens on. */
public record EndpointAddress(Endpoint endpoint, InetSocketAddress address) {

  /** The same endpoint in another lifecycle state. */
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
