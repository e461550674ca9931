package rushwood.lab.load;

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
import rushwood.lab.model.HostModel;
import rushwood.lab.model.Ledger;
import rushwood.lab.net.RouterProcess;
import rushwood.lab.net.StandinHost;
import rushwood.lab.net.StandinList;

/** Plays an experiment on loopback sockets against one router in a process of its own. */
public final class SocketRun {
  /**
   * What a router is started from: its jar, the flags of its virtual machine, its settings, its
   * cores.
   */
  public record Build(Path jar, List<String> flags, String settings, String cpus) {}

  private static final String NAME = "127.0.0.1";
  private static final long BEFORE = 600_000_000L; // between the router's start and the first event
  private static final long LOOK = 100_000_000L;

  private final Experiment experiment;
  private final Build build;
  private final Result result;
  private final Ledger ledger = new Ledger();
  private final Map<String, StandinHost> hosts = new LinkedHashMap<>();
  private final List<Crowd> crowds = new ArrayList<>();
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final LongSupplier clock;
  private StandinList list;
  private RouterProcess router;
  private long zero;

  public SocketRun(Experiment experiment, Build build) {
    this.experiment = experiment;
    this.build = build;
    result = new Result(experiment.name());
    Instant start = Instant.now();
    long origin = start.getEpochSecond() * 1_000_000_000L + start.getNano() - System.nanoTime();
    clock = () -> origin + System.nanoTime();
  }

  /** Plays it; takes as long as the experiment lasts, or until every client has its end. */
  public Result play() throws IOException, InterruptedException {
    Path config = null;
    try {
      list = new StandinList(loop);
      InetSocketAddress agent = list.listen();
      int seed = 0;
      for (Experiment.Host each : experiment.hosts()) {
        HostModel model =
            new HostModel(each.kind(), each.primary(), experiment.seed() * 31 + seed++);
        model.tips(each.tips());
        StandinHost host =
            new StandinHost(
                each.id(),
                model,
                loop,
                clock,
                (statement, told) -> {
                  if (statement.write()) {
                    int client = Integer.parseInt(statement.key().substring(1));
                    ledger.ran(client, statement.value("id"));
                  }
                });
        host.listen();
        hosts.put(each.id(), host);
        tell(each, "Ready", 0);
      }
      InetSocketAddress listen;
      try (ServerSocket free = new ServerSocket(0)) {
        listen = new InetSocketAddress(NAME, free.getLocalPort());
      }
      config = Files.createTempFile("router", ".json");
      Files.writeString(config, configuration(agent, listen));
      router =
          new RouterProcess(
              build.jar(), build.flags(), config, build.settings(), listen, build.cpus());
      zero = clock.getAsLong() + BEFORE;
      int first = 0;
      for (Experiment.Crowd each : experiment.clients()) {
        crowds.add(
            new Crowd(
                each, first, loop, clock, zero, listen, experiment.seed() + first, result, ledger));
        first += each.count();
      }
      loop.submit(this::begin).sync();
      watch();
      loop.submit(this::settle).sync();
      result.readCounters(router.finish());
      return result;
    } finally {
      if (config != null) {
        Files.deleteIfExists(config);
      }
      if (router != null) {
        router.close();
      }
      hosts.values().forEach(StandinHost::close);
      list.close();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  private void begin() {
    crowds.forEach(Crowd::come);
    for (Experiment.Event event : experiment.allEvents()) {
      loop.schedule(
          () -> happen(event),
          zero + Experiment.nanos(event.at()) - clock.getAsLong(),
          TimeUnit.NANOSECONDS);
    }
    loop.scheduleAtFixedRate(this::sample, LOOK, LOOK, TimeUnit.NANOSECONDS);
  }

  private void watch() throws InterruptedException {
    long end = zero + Experiment.nanos(experiment.lasts());
    while (clock.getAsLong() < end && crowds.stream().mapToInt(Crowd::waiting).sum() > 0) {
      Thread.sleep(LOOK / 1_000_000);
    }
  }

  private void happen(Experiment.Event event) {
    StandinHost host = hosts.get(event.host());
    switch (event.what()) {
      case "die" -> host.die();
      case "start" -> host.start();
      case "promote" -> {
        hosts.values().stream()
            .filter(each -> groupOf(each) == groupOf(host))
            .forEach(each -> each.model().promote(each == host));
      }
      case "demote" -> host.model().promote(false);
      case "hang" -> host.model().hang(true);
      case "wake" -> host.model().hang(false);
      case "silence" -> list.silent(true);
      case "list" -> {
        list.silent(false);
        experiment.hosts().forEach(each -> tell(each, "Ready", 0));
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

  private void tell(Experiment.Host host, String state, long started) {
    InetSocketAddress at = hosts.get(host.id()).address();
    list.put(
        new StandinList.Entry(
            host.id(),
            NAME + ":" + at.getPort(),
            host.group(),
            state,
            1,
            started,
            hosts.get(host.id()).model().isPrimary() ? "master" : "replica"));
  }

  private void sample() {
    long at = clock.getAsLong() - zero;
    hosts.forEach(
        (id, host) -> {
          result.count("in work at " + id, at, host.model().inWork(clock.getAsLong()));
          result.count(
              "warmth of " + id,
              at,
              host.model().isUp() ? host.model().warmth(clock.getAsLong()) : 0);
        });
  }

  private void settle() {
    for (int i = 0; i < crowds.size(); i++) {
      crowds.get(i).tell("crowd" + i);
    }
    hosts.forEach(
        (id, host) -> {
          result.figure(id + ".worst_cold_push", host.model().worstPush());
          result.figure(id + ".falls", host.model().falls());
          result.figure(id + ".offered", host.offered());
          result.figure(id + ".accepted", host.accepted());
          result.figure(id + ".overfull", host.overfull());
        });
    result.figure("doubled_tries", ledger.doubledTries());
    result.figure("doubled_writes", ledger.doubledWrites());
    result.figure("untrue_answers", ledger.untrue());
    for (double percent : new double[] {50, 95, 99, 100}) {
      result.figure("done_p" + (int) percent, result.doneWithin(percent));
    }
    result.figure("router_cpu_seconds", router.cpu() / 1e9);
  }

  private String configuration(InetSocketAddress agent, InetSocketAddress listen) {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("name", "r0").put("listen", NAME + ":" + listen.getPort());
    json.put("discovery", NAME + ":" + agent.getPort())
        .put("seed", Long.toHexString(experiment.seed()));
    json.putObject("limits").put("sockets", experiment.mostSockets());
    json.set("settings", RouterSettings.json(experiment));
    return json.toString();
  }
}
