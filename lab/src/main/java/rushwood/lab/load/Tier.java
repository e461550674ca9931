package rushwood.lab.load;

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
import rushwood.lab.model.HostModel;
import rushwood.lab.net.RouterProcess;
import rushwood.lab.net.StandinHost;
import rushwood.lab.net.StandinList;

/**
 * Several routers in processes of their own, each with an agent of its own, steady clients at each,
 * and hosts that all share. All but the routers runs on one loop of this process; when each router
 * last sent to each host is kept.
 */
public final class Tier implements AutoCloseable {
  private static final String NAME = "127.0.0.1";
  private static final int RATE = 4000; // a second and host: they are never what is waited for
  private static final int SOCKETS = 512;

  /** One router with what is its own. */
  public final class Member {
    private final int number;
    private final InetSocketAddress listen;
    private final StandinList agent;
    private final Steady clients;
    private RouterProcess process;

    private Member(int number) throws IOException, InterruptedException {
      this.number = number;
      try (ServerSocket free = new ServerSocket(0)) {
        listen = new InetSocketAddress(NAME, free.getLocalPort());
      }
      agent = new StandinList(loop);
      agent.listen();
      clients = new Steady(name(), loop, listen, "any");
    }

    private String name() {
      return "r" + number + "-";
    }

    public StandinList agent() {
      return agent;
    }

    public Steady clients() {
      return clients;
    }

    public RouterProcess process() {
      return process;
    }

    /**
     * Starts its process with that list as the one held before, or none if it is null; returns once
     * it serves.
     */
    public void start(String known) throws IOException, InterruptedException {
      configure(agent.address(), known);
      process =
          new RouterProcess(
              jar,
              List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m"),
              file(),
              "",
              listen,
              "");
    }

    /** Writes its configuration with that agent. */
    public void configure(InetSocketAddress discovery, String known) throws IOException {
      ObjectNode json = JsonNodeFactory.instance.objectNode();
      json.put("name", "r" + number).put("listen", NAME + ":" + listen.getPort());
      json.put("discovery", NAME + ":" + discovery.getPort())
          .put("seed", Integer.toHexString(number + 1));
      json.putObject("limits").put("sockets", SOCKETS);
      ObjectNode settings = RouterSettings.json(members.size());
      ((ObjectNode) settings.get("rules")).put("drain_grace", grace);
      json.set("settings", settings);
      if (known != null) {
        json.putRawValue("known", new RawValue(known));
      }
      Files.writeString(file(), json.toString());
    }

    private Path file() {
      return folder.resolve("r" + number + ".json");
    }

    /** When it last sent to that host, on the clock of {@link Tier#now()}. */
    public long lastSent(String host) {
      return lastSent.get(host)[number];
    }

    /** How many of its accesses that host was sent. */
    public long sent(String host) {
      return sent.get(host)[number];
    }
  }

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final Path folder = Files.createTempDirectory("tier");
  private final Path jar;
  private final double grace;
  private final List<Member> members = new ArrayList<>();
  private final Map<String, StandinHost> hosts = new LinkedHashMap<>();
  private final Map<String, long[]> lastSent = new LinkedHashMap<>();
  private final Map<String, long[]> sent = new LinkedHashMap<>();

  /** With the drain grace of the routers' settings, in seconds; the first host is the primary. */
  public Tier(Path jar, int routers, int hostCount, double grace)
      throws IOException, InterruptedException {
    this(jar, routers, hostCount, grace, new HostModel.Kind(RATE, 8, 64, 0.15, 0, 4, 0, 0));
  }

  /** With hosts of that kind. */
  public Tier(Path jar, int routers, int hostCount, double grace, HostModel.Kind kind)
      throws IOException, InterruptedException {
    this.jar = jar;
    this.grace = grace;
    for (int i = 0; i < hostCount; i++) {
      String id = "h" + i;
      StandinHost host =
          new StandinHost(
              id, new HostModel(kind, i == 0, i), loop, System::nanoTime, (statement, told) -> {});
      host.listen();
      hosts.put(id, host);
      lastSent.put(id, new long[routers]);
      sent.put(id, new long[routers]);
      host.hears(
          statement -> {
            String access = statement.value("id");
            int router = Integer.parseInt(access.substring(1, access.indexOf('-')));
            lastSent.get(id)[router] = now();
            sent.get(id)[router]++;
          });
    }
    for (int i = 0; i < routers; i++) {
      members.add(new Member(i));
    }
    on(
        () -> {
          members.forEach(member -> hosts.keySet().forEach(host -> list(member, host, "Ready")));
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
  public <T> T on(Callable<T> task) throws InterruptedException {
    try {
      return loop.submit(task).get();
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause());
    }
  }

  /** A router's agent has it that a host is in that state; on the loop. */
  public void list(Member member, String host, String state) {
    member.agent.put(entry(host, host, state));
  }

  /** An entry for an id at that host's address. */
  public StandinList.Entry entry(String id, String host, String state) {
    return entry(id, host, state, 0);
  }

  private StandinList.Entry entry(String id, String host, String state, long startedMillis) {
    StandinHost at = hosts.get(host);
    return new StandinList.Entry(
        id,
        NAME + ":" + at.address().getPort(),
        0,
        state,
        1,
        startedMillis,
        id.equals("h0") ? "master" : "replica");
  }

  /** Its process has started anew, and all agents have that; on the loop. */
  public void startAnew(String host) {
    hosts.get(host).model().start(now());
    members.forEach(each -> each.agent.put(entry(host, host, "Ready", System.currentTimeMillis())));
  }

  public HostModel model(String host) {
    return hosts.get(host).model();
  }

  @Override
  public void close() throws IOException {
    for (Member member : members) {
      if (member.process != null) {
        member.process.close();
      }
      member.agent.close();
      Files.deleteIfExists(member.file());
    }
    hosts.values().forEach(StandinHost::close);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    Files.deleteIfExists(folder);
  }
}
