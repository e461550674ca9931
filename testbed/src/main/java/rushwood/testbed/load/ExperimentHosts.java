package rushwood.testbed.load;

import io.netty.channel.EventLoop;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import rushwood.api.Endpoint;
import rushwood.testbed.model.HostModel;
import rushwood.testbed.standin.EndpointEntry;
import rushwood.testbed.standin.StandinDiscovery;
import rushwood.testbed.standin.StandinHost;
import rushwood.testbed.standin.Statement;

/**
 * The stand-in hosts of an experiment on sockets, and their publication by its discovery agent. All
 * methods but {@link #start} and {@link #close} are called on the event loop.
 */
final class ExperimentHosts {
  private final Experiment experiment;
  private final StandinDiscovery discovery;
  private final Map<String, StandinHost> hosts = new LinkedHashMap<>();

  ExperimentHosts(Experiment experiment, StandinDiscovery discovery) {
    this.experiment = experiment;
    this.discovery = discovery;
  }

  /**
   * Starts and publishes all hosts, and waits until they listen.
   *
   * @param clock the time in nanoseconds
   * @param executionListener called with each statement that a host has executed
   */
  void start(EventLoop loop, LongSupplier clock, Consumer<Statement> executionListener)
      throws InterruptedException {
    for (int i = 0; i < experiment.hosts().size(); i++) {
      HostSpec spec = experiment.hosts().get(i);
      HostModel model = experiment.newHostModel(i);
      StandinHost host = new StandinHost(model, loop, clock, executionListener);
      host.listen();
      hosts.put(spec.id(), host);
      publish(spec, host);
    }
  }

  /**
   * Returns the host with the given id.
   *
   * @throws NullPointerException if the experiment has no such host
   */
  StandinHost get(String id) {
    return Objects.requireNonNull(hosts.get(id), () -> "the experiment has no host " + id);
  }

  /** Makes a host the primary of its group, and all other hosts of the group replicas. */
  void promote(String id) {
    int group = groupOf(id);
    for (HostSpec spec : experiment.hosts()) {
      if (spec.group() == group) {
        get(spec.id()).model().setPrimary(spec.id().equals(id));
      }
    }
  }

  private int groupOf(String id) {
    return experiment.hosts().stream()
        .filter(spec -> spec.id().equals(id))
        .findFirst()
        .orElseThrow()
        .group();
  }

  /** Publishes all hosts with their current roles. */
  void publish() {
    experiment.hosts().forEach(spec -> publish(spec, get(spec.id())));
  }

  private void publish(HostSpec spec, StandinHost host) {
    discovery.publish(
        new EndpointEntry(
            spec.id(),
            host.address(),
            spec.group(),
            Endpoint.State.READY,
            0,
            host.model().isPrimary()));
  }

  /** Adds the current state of every host to the host's time series. */
  void sample(ExperimentResult result, long elapsedNanos, long now) {
    hosts.forEach((id, host) -> sample(result, elapsedNanos, id, host.model(), now));
  }

  private static void sample(
      ExperimentResult result, long elapsedNanos, String id, HostModel model, long now) {
    result.addToSeries(
        ReportNames.activeRequestsSeries(id), elapsedNanos, model.activeRequests(now));
    result.addToSeries(
        ReportNames.relativeSpeedSeries(id),
        elapsedNanos,
        model.isUp() ? model.relativeSpeed(now) : 0);
  }

  /** Records the figures of every host. */
  void reportTo(ExperimentResult result) {
    hosts.forEach((id, host) -> report(result, id, host));
  }

  private static void report(ExperimentResult result, String id, StandinHost host) {
    BiConsumer<String, Number> record =
        (name, value) -> result.recordFigure(ReportNames.ofHost(id, name), value.doubleValue());
    record.accept(ReportNames.WORST_COLD_OVERLOAD, host.model().worstColdOverload());
    record.accept(ReportNames.OVERLOAD_CRASHES, host.model().overloadCrashes());
    record.accept(ReportNames.RECEIVED_REQUESTS, host.receivedRequests());
    record.accept(ReportNames.ACCEPTED_CONNECTIONS, host.acceptedConnections());
    record.accept(ReportNames.OVERLOADED_REPLIES, host.overloadedReplies());
  }

  /** Closes the sockets of all hosts. */
  void close() {
    hosts.values().forEach(StandinHost::close);
  }
}
