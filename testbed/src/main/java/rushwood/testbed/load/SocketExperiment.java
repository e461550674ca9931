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
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import rushwood.testbed.model.WriteLedger;
import rushwood.testbed.standin.Loopback;
import rushwood.testbed.standin.RouterJar;
import rushwood.testbed.standin.RouterProcess;
import rushwood.testbed.standin.StandinDiscovery;
import rushwood.testbed.standin.Statement;

/**
 * Runs an experiment on loopback sockets against one router process. Hosts, discovery and clients
 * run on one event loop of this process. An instance can be run only once.
 */
public final class SocketExperiment {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long START_DELAY_NANOS = 600 * NANOS_PER_MILLI; // lets the router settle
  private static final long SAMPLE_INTERVAL_NANOS = 100 * NANOS_PER_MILLI;

  private final Experiment experiment;
  private final RouterProcess.LaunchOptions launchOptions;
  private final ExperimentResult result;
  private final WriteLedger ledger = new WriteLedger();
  private final MultiThreadIoEventLoopGroup eventLoopGroup =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) eventLoopGroup.next();
  private final LongSupplier clock = unixNanoClock();
  private final StandinDiscovery discovery = new StandinDiscovery(loop);
  private final ExperimentHosts hosts;

  /** Creates a run of an experiment against a router that is started with the given options. */
  public SocketExperiment(Experiment experiment, RouterProcess.LaunchOptions launchOptions) {
    this.experiment = experiment;
    this.launchOptions = launchOptions;
    result = new ExperimentResult(experiment.name());
    hosts = new ExperimentHosts(experiment, discovery);
  }

  /** Returns a clock of Unix time in nanoseconds that never goes back. */
  private static LongSupplier unixNanoClock() {
    Instant now = Instant.now();
    long unixNanos = now.getEpochSecond() * NANOS_PER_SECOND + now.getNano();
    long origin = unixNanos - System.nanoTime();
    return () -> origin + System.nanoTime();
  }

  /**
   * Runs until every client has finished or the experiment's duration has passed.
   *
   * @return the checksum of the router's jar, the figures, the router's counters and the time
   *     series
   * @throws IOException if the router does not start
   */
  public ExperimentResult run() throws IOException, InterruptedException {
    result.recordOrigin(ReportNames.ROUTER_JAR_CHECKSUM, RouterJar.checksum(launchOptions.jar()));
    Path configFile = Files.createTempFile("router", ".json");
    try {
      InetSocketAddress discoveryAddress = discovery.listen();
      hosts.start(loop, clock, this::recordExecution);
      InetSocketAddress listen = Loopback.freeAddress();
      Files.writeString(configFile, routerConfiguration(listen, discoveryAddress));
      try (RouterProcess router = new RouterProcess(launchOptions, configFile, listen)) {
        runLoad(router, listen);
      }
      return result;
    } finally {
      Files.deleteIfExists(configFile);
      hosts.close();
      discovery.close();
      eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
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

  private void runLoad(RouterProcess router, InetSocketAddress routerAddress)
      throws IOException, InterruptedException {
    long startNanos = clock.getAsLong() + START_DELAY_NANOS;
    List<ClientPopulation> populations = createPopulations(routerAddress, startNanos);
    loop.submit(
            () ->
                scheduleArrivalsAndEvents(
                    populations, new SocketEventHandler(hosts, discovery, router), startNanos))
        .sync();
    awaitEnd(populations, startNanos + experiment.durationNanos());
    loop.submit(() -> reportFigures(populations, router)).sync();
    result.addLoggedCounters(router.stop());
  }

  private List<ClientPopulation> createPopulations(
      InetSocketAddress routerAddress, long startNanos) {
    LoadContext context = new LoadContext(loop, clock, startNanos, routerAddress, result, ledger);
    List<ClientPopulation> populations = new ArrayList<>();
    int firstClientNumber = 0;
    for (PopulationSpec spec : experiment.populations()) {
      long seed = experiment.seed() + firstClientNumber;
      populations.add(new ClientPopulation(spec, firstClientNumber, seed, context));
      firstClientNumber += spec.count();
    }
    return populations;
  }

  private void scheduleArrivalsAndEvents(
      List<ClientPopulation> populations, ScheduledEvent.Handler handler, long startNanos) {
    populations.forEach(ClientPopulation::scheduleArrivals);
    for (ScheduledEvent event : experiment.events()) {
      loop.schedule(
          () -> event.applyTo(handler),
          startNanos + event.atNanos() - clock.getAsLong(),
          TimeUnit.NANOSECONDS);
    }
    loop.scheduleAtFixedRate(
        () -> sampleHosts(startNanos),
        SAMPLE_INTERVAL_NANOS,
        SAMPLE_INTERVAL_NANOS,
        TimeUnit.NANOSECONDS);
  }

  private void sampleHosts(long startNanos) {
    long now = clock.getAsLong();
    hosts.sample(result, now - startNanos, now);
  }

  private void awaitEnd(List<ClientPopulation> populations, long end) throws InterruptedException {
    while (clock.getAsLong() < end
        && populations.stream().mapToInt(ClientPopulation::unfinished).sum() > 0) {
      Thread.sleep(SAMPLE_INTERVAL_NANOS / NANOS_PER_MILLI);
    }
  }

  private void reportFigures(List<ClientPopulation> populations, RouterProcess router) {
    for (int i = 0; i < populations.size(); i++) {
      populations.get(i).reportFigures(i);
    }
    hosts.reportTo(result);
    result.recordDuplicates(ledger);
    result.recordFigure(ReportNames.FALSE_SUCCESSES, ledger.falseSuccesses());
    result.recordCompletionPercentiles();
    result.recordFigure(ReportNames.ROUTER_CPU_SECONDS, router.cpuNanos() / 1e9);
  }
}
