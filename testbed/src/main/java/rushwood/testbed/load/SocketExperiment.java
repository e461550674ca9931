package rushwood.testbed.load;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import rushwood.testbed.model.HostModel;
import rushwood.testbed.model.WriteLedger;
import rushwood.testbed.standin.RouterProcess;
import rushwood.testbed.standin.StandinDiscovery;
import rushwood.testbed.standin.StandinHost;

/** Plays an experiment on loopback sockets against one router in a process of its own. */
public final class SocketExperiment {
  /**
   * What a router is started from: its jar, the flags of its virtual machine, its settings, its
   * cores.
   */
  public record RouterBuild(Path jar, List<String> flags, String settings, String cpus) {}

  private static final String LOOPBACK = "127.0.0.1";
  private static final long START_DELAY_NANOS =
      600_000_000L; // between the router's start and the first event
  private static final long SAMPLE_INTERVAL_NANOS = 100_000_000L;

  private final Experiment experiment;
  private final RouterBuild build;
  private final ExperimentResult result;
  private final WriteLedger ledger = new WriteLedger();
  private final Map<String, StandinHost> hosts = new LinkedHashMap<>();
  private final List<ClientPopulation> populations = new ArrayList<>();
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final LongSupplier clock;
  private StandinDiscovery discovery;
  private RouterProcess router;
  private long startNanos;

  public SocketExperiment(Experiment experiment, RouterBuild build) {
    this.experiment = experiment;
    this.build = build;
    result = new ExperimentResult(experiment.name());
    Instant start = Instant.now();
    long origin = start.getEpochSecond() * 1_000_000_000L + start.getNano() - System.nanoTime();
    clock = () -> origin + System.nanoTime();
  }

  /** Plays it; takes as long as the experiment lasts, or until every client has its end. */
  public ExperimentResult run() throws IOException, InterruptedException {
    Path config = null;
    try {
      discovery = new StandinDiscovery(loop);
      InetSocketAddress discoveryAddress = discovery.listen();
      int seed = 0;
      for (Experiment.HostSpec each : experiment.hosts()) {
        HostModel model =
            new HostModel(each.modelParameters(), each.primary(), experiment.seed() * 31 + seed++);
        model.crashOnOverload(each.tips());
        StandinHost host =
            new StandinHost(
                each.id(),
                model,
                loop,
                clock,
                (statement, told) -> {
                  if (statement.write()) {
                    int client = Integer.parseInt(statement.key().substring(1));
                    ledger.recordExecution(client, statement.commentValue("id"));
                  }
                });
        host.listen();
        hosts.put(each.id(), host);
        publish(each, "Ready", 0);
      }
      InetSocketAddress listen;
      try (ServerSocket free = new ServerSocket(0)) {
        listen = new InetSocketAddress(LOOPBACK, free.getLocalPort());
      }
      config = Files.createTempFile("router", ".json");
      Files.writeString(config, routerConfiguration(discoveryAddress, listen));
      router =
          new RouterProcess(
              build.jar(), build.flags(), config, build.settings(), listen, build.cpus());
      startNanos = clock.getAsLong() + START_DELAY_NANOS;
      int firstClientNumber = 0;
      for (Experiment.PopulationSpec each : experiment.clients()) {
        populations.add(
            new ClientPopulation(
                each,
                firstClientNumber,
                loop,
                clock,
                startNanos,
                listen,
                experiment.seed() + firstClientNumber,
                result,
                ledger));
        firstClientNumber += each.count();
      }
      loop.submit(this::scheduleAll).sync();
      awaitEnd();
      loop.submit(this::reportFigures).sync();
      result.readCounters(router.stop());
      return result;
    } finally {
      if (config != null) {
        Files.deleteIfExists(config);
      }
      if (router != null) {
        router.close();
      }
      hosts.values().forEach(StandinHost::close);
      discovery.close();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  private void scheduleAll() {
    populations.forEach(ClientPopulation::scheduleArrivals);
    for (Experiment.ScheduledEvent event : experiment.eventsInOrder()) {
      loop.schedule(
          () -> apply(event),
          startNanos + Experiment.nanos(event.at()) - clock.getAsLong(),
          TimeUnit.NANOSECONDS);
    }
    loop.scheduleAtFixedRate(
        this::sample, SAMPLE_INTERVAL_NANOS, SAMPLE_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
  }

  private void awaitEnd() throws InterruptedException {
    long end = startNanos + Experiment.nanos(experiment.lasts());
    while (clock.getAsLong() < end
        && populations.stream().mapToInt(ClientPopulation::unfinished).sum() > 0) {
      Thread.sleep(SAMPLE_INTERVAL_NANOS / 1_000_000);
    }
  }

  private void apply(Experiment.ScheduledEvent event) {
    StandinHost host = hosts.get(event.host());
    switch (event.what()) {
      case "die" -> host.crash();
      case "start" -> host.restart();
      case "promote" -> {
        hosts.values().stream()
            .filter(each -> groupOf(each) == groupOf(host))
            .forEach(each -> each.model().setPrimary(each == host));
      }
      case "demote" -> host.model().setPrimary(false);
      case "hang" -> host.model().setHung(true);
      case "wake" -> host.model().setHung(false);
      case "silence" -> discovery.setSilent(true);
      case "list" -> {
        discovery.setSilent(false);
        experiment.hosts().forEach(each -> publish(each, "Ready", 0));
      }
      case "term" -> router.terminate();
      default -> throw new IllegalStateException(event.what());
    }
  }

  private int groupOf(StandinHost host) {
    return experiment.hosts().stream()
        .filter(each -> each.id().equals(host.id()))
        .findFirst()
        .orElseThrow()
        .group();
  }

  private void publish(Experiment.HostSpec host, String state, long startedMillis) {
    InetSocketAddress address = hosts.get(host.id()).address();
    discovery.publish(
        new StandinDiscovery.Entry(
            host.id(),
            LOOPBACK + ":" + address.getPort(),
            host.group(),
            state,
            1,
            startedMillis,
            hosts.get(host.id()).model().isPrimary() ? "master" : "replica"));
  }

  private void sample() {
    long elapsed = clock.getAsLong() - startNanos;
    hosts.forEach(
        (id, host) -> {
          result.addToSeries(
              "in work at " + id, elapsed, host.model().activeRequests(clock.getAsLong()));
          result.addToSeries(
              "warmth of " + id,
              elapsed,
              host.model().isUp() ? host.model().relativeSpeed(clock.getAsLong()) : 0);
        });
  }

  private void reportFigures() {
    for (int i = 0; i < populations.size(); i++) {
      populations.get(i).reportFigures("crowd" + i);
    }
    hosts.forEach(
        (id, host) -> {
          result.recordFigure(id + ".worst_cold_push", host.model().worstColdOverload());
          result.recordFigure(id + ".falls", host.model().overloadCrashes());
          result.recordFigure(id + ".offered", host.receivedRequests());
          result.recordFigure(id + ".accepted", host.acceptedConnections());
          result.recordFigure(id + ".overfull", host.overloadedReplies());
        });
    result.recordFigure("doubled_tries", ledger.duplicatedTries());
    result.recordFigure("doubled_writes", ledger.duplicatedWrites());
    result.recordFigure("untrue_answers", ledger.falseSuccesses());
    for (double percent : new double[] {50, 95, 99, 100}) {
      result.recordFigure("done_p" + (int) percent, result.completionPercentile(percent));
    }
    result.recordFigure("router_cpu_seconds", router.cpuNanos() / 1e9);
  }

  private String routerConfiguration(InetSocketAddress discoveryAddress, InetSocketAddress listen) {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("name", "r0").put("listen", LOOPBACK + ":" + listen.getPort());
    json.put("discovery", LOOPBACK + ":" + discoveryAddress.getPort())
        .put("seed", Long.toHexString(experiment.seed()));
    json.putObject("limits").put("sockets", experiment.maxSockets());
    json.set("settings", RouterSettings.json(experiment));
    return json.toString();
  }
}
