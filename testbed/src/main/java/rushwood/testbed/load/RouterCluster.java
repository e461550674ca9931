package rushwood.testbed.load;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import rushwood.testbed.model.HostModel;
import rushwood.testbed.standin.RouterProcess;
import rushwood.testbed.standin.StandinDiscovery;
import rushwood.testbed.standin.StandinHost;

/**
 * Several routers in processes of their own, each with an agent of its own, steady clients at each,
 * and hosts that all share. All but the routers runs on one loop of this process; when each router
 * last sent to each host is kept.
 */
public final class RouterCluster implements AutoCloseable {
  private static final String LOOPBACK = "127.0.0.1";
  private static final int HOST_RATE = 4000; // a second and host: they are never what is waited for
  private static final int MAX_SOCKETS = 512;

  /** One router with what is its own. */
  public final class Member {
    private final int number;
    private final InetSocketAddress listen;
    private final StandinDiscovery discovery;
    private final SteadyLoad load;
    private RouterProcess process;

    private Member(int number) throws IOException, InterruptedException {
      this.number = number;
      try (ServerSocket free = new ServerSocket(0)) {
        listen = new InetSocketAddress(LOOPBACK, free.getLocalPort());
      }
      discovery = new StandinDiscovery(loop);
      discovery.listen();
      load = new SteadyLoad(idPrefix(), loop, listen, "any");
    }

    private String idPrefix() {
      return "r" + number + "-";
    }

    public StandinDiscovery discovery() {
      return discovery;
    }

    public SteadyLoad load() {
      return load;
    }

    public RouterProcess process() {
      return process;
    }

    /**
     * Starts its process with that list as the one held before, or none if it is null; returns once
     * it serves.
     */
    public void start(String knownEndpoints) throws IOException, InterruptedException {
      configure(discovery.address(), knownEndpoints);
      process =
          new RouterProcess(
              jar,
              List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m"),
              configFile(),
              "",
              listen,
              "");
    }

    /** Writes its configuration with that agent. */
    public void configure(InetSocketAddress discoveryAddress, String knownEndpoints)
        throws IOException {
      ObjectNode json = JsonNodeFactory.instance.objectNode();
      json.put("name", "r" + number).put("listen", LOOPBACK + ":" + listen.getPort());
      json.put("discovery", LOOPBACK + ":" + discoveryAddress.getPort())
          .put("seed", Integer.toHexString(number + 1));
      json.putObject("limits").put("sockets", MAX_SOCKETS);
      ObjectNode settings = RouterSettings.json(members.size());
      ((ObjectNode) settings.get("rules")).put("drain_grace", drainGraceSeconds);
      json.set("settings", settings);
      if (knownEndpoints != null) {
        json.putRawValue("known", new RawValue(knownEndpoints));
      }
      Files.writeString(configFile(), json.toString());
    }

    private Path configFile() {
      return folder.resolve("r" + number + ".json");
    }

    /** When it last sent to that host, on the clock of {@link Tier#now()}. */
    public long lastRequestAt(String host) {
      return lastRequestAt.get(host)[number];
    }

    /** How many of its accesses that host was sent. */
    public long requestsSent(String host) {
      return requestsSent.get(host)[number];
    }
  }

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final Path folder = Files.createTempDirectory("tier");
  private final Path jar;
  private final double drainGraceSeconds;
  private final List<Member> members = new ArrayList<>();
  private final Map<String, StandinHost> hosts = new LinkedHashMap<>();
  private final Map<String, long[]> lastRequestAt = new LinkedHashMap<>();
  private final Map<String, long[]> requestsSent = new LinkedHashMap<>();

  /** With the drain grace of the routers' settings, in seconds; the first host is the primary. */
  public RouterCluster(Path jar, int routers, int hostCount, double drainGraceSeconds)
      throws IOException, InterruptedException {
    this(
        jar,
        routers,
        hostCount,
        drainGraceSeconds,
        new HostModel.Parameters(HOST_RATE, 8, 64, 0.15, 0, 4, 0, 0));
  }

  /** With hosts of that kind. */
  public RouterCluster(
      Path jar,
      int routers,
      int hostCount,
      double drainGraceSeconds,
      HostModel.Parameters parameters)
      throws IOException, InterruptedException {
    this.jar = jar;
    this.drainGraceSeconds = drainGraceSeconds;
    for (int i = 0; i < hostCount; i++) {
      String id = "h" + i;
      StandinHost host =
          new StandinHost(
              id,
              new HostModel(parameters, i == 0, i),
              loop,
              System::nanoTime,
              (statement, told) -> {});
      host.listen();
      hosts.put(id, host);
      lastRequestAt.put(id, new long[routers]);
      requestsSent.put(id, new long[routers]);
      host.onStatement(
          statement -> {
            String requestId = statement.commentValue("id");
            int router = Integer.parseInt(requestId.substring(1, requestId.indexOf('-')));
            lastRequestAt.get(id)[router] = now();
            requestsSent.get(id)[router]++;
          });
    }
    for (int i = 0; i < routers; i++) {
      members.add(new Member(i));
    }
    runOnLoop(
        () -> {
          members.forEach(
              member -> hosts.keySet().forEach(host -> announce(member, host, "Ready")));
          return null;
        });
  }

  public List<Member> members() {
    return members;
  }

  public long now() {
    return System.nanoTime();
  }

  /** Runs that on the loop, where agents, hosts and clients live. */
  public <T> T runOnLoop(Callable<T> task) throws InterruptedException {
    try {
      return loop.submit(task).get();
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause());
    }
  }

  /** A router's agent has it that a host is in that state; on the loop. */
  public void announce(Member member, String host, String state) {
    member.discovery.publish(entry(host, host, state));
  }

  /** An entry for an id at that host's address. */
  public StandinDiscovery.Entry entry(String id, String host, String state) {
    return entry(id, host, state, 0);
  }

  private StandinDiscovery.Entry entry(String id, String host, String state, long startedMillis) {
    StandinHost at = hosts.get(host);
    return new StandinDiscovery.Entry(
        id,
        LOOPBACK + ":" + at.address().getPort(),
        0,
        state,
        1,
        startedMillis,
        id.equals("h0") ? "master" : "replica");
  }

  /** Its process has started anew, and all agents have that; on the loop. */
  public void restartHost(String host) {
    hosts.get(host).model().restart(now());
    members.forEach(
        each -> each.discovery.publish(entry(host, host, "Ready", System.currentTimeMillis())));
  }

  public HostModel hostModel(String host) {
    return hosts.get(host).model();
  }

  @Override
  public void close() throws IOException {
    for (Member member : members) {
      if (member.process != null) {
        member.process.close();
      }
      member.discovery.close();
      Files.deleteIfExists(member.configFile());
    }
    hosts.values().forEach(StandinHost::close);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    Files.deleteIfExists(folder);
  }
}
