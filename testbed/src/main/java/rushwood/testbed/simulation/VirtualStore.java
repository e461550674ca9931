package rushwood.testbed.simulation;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import rushwood.api.Endpoint;
import rushwood.api.HostId;
import rushwood.testbed.load.Experiment;
import rushwood.testbed.load.HostSpec;
import rushwood.testbed.model.WriteLedger;

/** The hosts of a simulation and the endpoint list in which discovery announces them. */
final class VirtualStore {
  private final Map<HostId, VirtualHost> hosts = new LinkedHashMap<>();

  VirtualStore(Experiment experiment, EventQueue events, WriteLedger ledger) {
    for (int i = 0; i < experiment.hosts().size(); i++) {
      HostSpec spec = experiment.hosts().get(i);
      VirtualHost host = new VirtualHost(spec, experiment.newHostModel(i), events, ledger);
      hosts.put(host.id(), host);
    }
  }

  /**
   * Returns the host with the given id.
   *
   * @throws NullPointerException if there is none
   */
  VirtualHost host(HostId id) {
    return Objects.requireNonNull(hosts.get(id), () -> "no host " + id);
  }

  Collection<VirtualHost> hosts() {
    return hosts.values();
  }

  /** Returns an endpoint for each host, including hosts that are down; all are in state READY. */
  List<Endpoint> endpoints() {
    return hosts.values().stream().map(VirtualHost::toEndpoint).toList();
  }

  /** Makes a host the primary of its group and the other hosts of the group replicas. */
  void promote(HostId id) {
    VirtualHost promoted = host(id);
    hosts.values().stream()
        .filter(host -> host.group() == promoted.group())
        .forEach(host -> host.model().setPrimary(host == promoted));
  }

  /** Returns the requests per second that all hosts together complete when they are warm. */
  double totalRate() {
    double rate = 0;
    for (VirtualHost host : hosts.values()) {
      rate += host.rate();
    }
    return rate;
  }

  /** Returns the highest {@link rushwood.testbed.model.HostModel#worstColdOverload()}. */
  double worstColdOverload() {
    return hosts.values().stream()
        .mapToDouble(host -> host.model().worstColdOverload())
        .reduce(0, Math::max);
  }

  /** Returns the number of crashes because of overload, summed over all hosts. */
  int overloadCrashes() {
    return hosts.values().stream().mapToInt(host -> host.model().overloadCrashes()).sum();
  }
}
