package rushwood.testbed.load;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import rushwood.api.Endpoint;
import rushwood.testbed.model.HostModel;
import rushwood.testbed.model.WriteLedger;
import rushwood.testbed.standin.EndpointEntry;
import rushwood.testbed.standin.Loopback;
import rushwood.testbed.standin.RouterProcess;
import rushwood.testbed.standin.StandinDiscovery;
import rushwood.testbed.standin.StandinHost;
import rushwood.testbed.standin.Statement;

/**
 * Runs an experiment on loopback sockets against one router in a process of its own. Hosts,
 * discovery and clients live on one event loop of this process. An instance runs once.
 */
public final class SocketExperiment {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long START_DELAY_NANOS = 600 * NANOS_PER_MILLI; // for the router to settle
  private static final long SAMPLE_INTERVAL_NANOS = 100 * NANOS_PER_MILLI;

  private final Experiment experiment;
  private final RouterProcess.Build build;
  private final ExperimentResult result;
  private final WriteLedger ledger = new WriteLedger();
  private final Map<String, StandinHost> hosts = new LinkedHashMap<>();
  private final List<ClientPopulation> populations = new ArrayList<>();
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final LongSupplier clock = unixNanoClock();
  private final StandinDiscovery discovery = new StandinDiscovery(loop);
  private RouterProcess router;
  private long startNanos;

  /** An experiment with a router of that build. */
  public SocketExperiment(Experiment experiment, RouterProcess.Build build) {
    this.experiment = experiment;
    this.build = build;
    result = new ExperimentResult(experiment.name());
  }

  /** A clock of Unix time that never goes back. */
  private static LongSupplier unixNanoClock() {
    Instant now = Instant.now();
    long unixNanos = now.getEpochSecond() * NANOS_PER_SECOND + now.getNano();
    long origin = unixNanos - System.nanoTime();
    return () -> origin + System.nanoTime();
  }

  /**
   * Runs until every client is served or has given up, or the experiment's time is over.
   *
   * @throws IOException if the router does not start
   */
  public ExperimentResult run() throws IOException, InterruptedException {
    Path configFile = Files.createTempFile("router", ".json");
    try {
      InetSocketAddress discoveryAddress = discovery.listen();
      startHosts();
      InetSocketAddress listen = Loopback.freeAddress();
      Files.writeString(configFile, routerConfiguration(listen, discoveryAddress));
      router = new RouterProcess(build, configFile, listen);
      startNanos = clock.getAsLong() + START_DELAY_NANOS;
      createPopulations(listen);
      loop.submit(this::scheduleAll).sync();
      awaitEnd();
      loop.submit(this::reportFigures).sync();
      result.readCounters(router.stop());
      return result;
    } finally {
      Files.deleteIfExists(configFile);
      if (router != null) {
        router.close();
      }
      hosts.values().forEach(StandinHost::close);
      discovery.close();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  private void startHosts() throws InterruptedException {
    for (int i = 0; i < experiment.hosts().size(); i++) {
      HostSpec spec = experiment.hosts().get(i);
      HostModel model = experiment.newHostModel(i);
      StandinHost host = new StandinHost(model, loop, clock, this::recordExecution);
      host.listen();
      hosts.put(spec.id(), host);
      publish(spec);
    }
  }

  private void recordExecution(Statement statement) {
    if (statement.isWrite()) {
      ledger.recordExecution(SocketClient.numberFromKey(statement.key()), statement.id());
    }
  }

  private String routerConfiguration(InetSocketAddress listen, InetSocketAddress discoveryAddress) {
    return RouterSettings.configuration(
            "r0",
            listen,
            discoveryAddress,
            experiment.seed(),
            experiment.maxSockets(),
            RouterSettings.forExperiment(experiment))
        .toString();
  }

  private void createPopulations(InetSocketAddress routerAddress) {
    LoadContext context = new LoadContext(loop, clock, startNanos, routerAddress, result, ledger);
    int firstClientNumber = 0;
    for (PopulationSpec spec : experiment.populations()) {
      long seed = experiment.seed() + firstClientNumber;
      populations.add(new ClientPopulation(spec, firstClientNumber, seed, context));
      firstClientNumber += spec.count();
    }
  }

  private void scheduleAll() {
    populations.forEach(ClientPopulation::scheduleArrivals);
    EventHandler handler = new EventHandler();
    for (ScheduledEvent event : experiment.events()) {
      loop.schedule(
          () -> event.applyTo(handler),
          startNanos + event.nanos() - clock.getAsLong(),
          TimeUnit.NANOSECONDS);
    }
    loop.scheduleAtFixedRate(
        this::sample, SAMPLE_INTERVAL_NANOS, SAMPLE_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
  }

  private void awaitEnd() throws InterruptedException {
    long end = startNanos + experiment.durationNanos();
    while (clock.getAsLong() < end
        && populations.stream().mapToInt(ClientPopulation::unfinished).sum() > 0) {
      Thread.sleep(SAMPLE_INTERVAL_NANOS / NANOS_PER_MILLI);
    }
  }

  private void publish(HostSpec spec) {
    StandinHost host = hosts.get(spec.id());
    discovery.publish(
        new EndpointEntry(
            spec.id(),
            host.address(),
            spec.group(),
            Endpoint.State.READY,
            0,
            host.model().isPrimary()));
  }

  private void sample() {
    long now = clock.getAsLong();
    hosts.forEach((id, host) -> sample(id, host.model(), now));
  }

  private void sample(String id, HostModel model, long now) {
    long elapsed = now - startNanos;
    result.addToSeries(ReportNames.activeRequestsSeries(id), elapsed, model.activeRequests(now));
    result.addToSeries(
        ReportNames.relativeSpeedSeries(id), elapsed, model.isUp() ? model.relativeSpeed(now) : 0);
  }

  private void reportFigures() {
    for (int i = 0; i < populations.size(); i++) {
      populations.get(i).reportFigures(i);
    }
    hosts.forEach(this::reportHostFigures);
    result.recordDuplicates(ledger);
    result.recordFigure(ReportNames.FALSE_SUCCESSES, ledger.falseSuccesses());
    result.recordCompletionPercentiles();
    result.recordFigure(ReportNames.ROUTER_CPU_SECONDS, router.cpuNanos() / 1e9);
  }

  private void reportHostFigures(String id, StandinHost host) {
    BiConsumer<String, Number> record =
        (name, value) -> result.recordFigure(ReportNames.ofHost(id, name), value.doubleValue());
    record.accept(ReportNames.WORST_COLD_OVERLOAD, host.model().worstColdOverload());
    record.accept(ReportNames.OVERLOAD_CRASHES, host.model().overloadCrashes());
    record.accept(ReportNames.RECEIVED_REQUESTS, host.receivedRequests());
    record.accept(ReportNames.ACCEPTED_CONNECTIONS, host.acceptedConnections());
    record.accept(ReportNames.OVERLOADED_REPLIES, host.overloadedReplies());
  }

  /** Carries out the experiment's events, on the event loop. */
  private final class EventHandler implements ScheduledEvent.Handler {
    @Override
    public void crash(String host) {
      hosts.get(host).crash();
    }

    @Override
    public void restart(String host) {
      hosts.get(host).restart();
    }

    @Override
    public void promote(String host) {
      int group = groupOf(host);
      for (HostSpec spec : experiment.hosts()) {
        if (spec.group() == group) {
          hosts.get(spec.id()).model().setPrimary(spec.id().equals(host));
        }
      }
    }

    private int groupOf(String host) {
      return experiment.hosts().stream()
          .filter(spec -> spec.id().equals(host))
          .findFirst()
          .orElseThrow()
          .group();
    }

    @Override
    public void demote(String host) {
      hosts.get(host).model().setPrimary(false);
    }

    @Override
    public void setHung(String host, boolean hung) {
      hosts.get(host).model().setHung(hung);
    }

    @Override
    public void silenceDiscovery() {
      discovery.setSilent(true);
    }

    @Override
    public void publishEndpoints() {
      discovery.setSilent(false);
      experiment.hosts().forEach(SocketExperiment.this::publish);
    }

    @Override
    public void terminateRouter() {
      router.terminate();
    }
  }
}
