package rushwood.testbed.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import rushwood.api.Endpoint;
import rushwood.testbed.model.HostModel;
import rushwood.testbed.standin.EndpointEntry;
import rushwood.testbed.standin.StandinHost;
import rushwood.testbed.standin.Statement;

/**
 * Several routers in processes of their own, each with an agent and steady clients of its own, and
 * hosts {@code h0}, {@code h1}, ... that all share. Everything but the routers lives on one event
 * loop of this process.
 */
public final class RouterCluster implements AutoCloseable {
  /** Hosts so fast that nothing waits for them, and that are always warm. */
  private static final HostModel.Parameters FAST_HOST =
      new HostModel.Parameters(4000, 8, 64, 0.15, 0, 4, 0, 0);

  private static final int LOOP_TIMEOUT_SECONDS = 20; // tasks take milliseconds
  private static final String PRIMARY = "h0";
  private static final int GROUP = 0;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final Path folder = Files.createTempDirectory("cluster");
  private final List<ClusterMember> members = new ArrayList<>();
  private final Map<String, StandinHost> hosts = new LinkedHashMap<>();

  /** A cluster of fast hosts; {@code drainGraceSeconds} is a setting of the routers. */
  public RouterCluster(Path jar, int routers, int hostCount, double drainGraceSeconds)
      throws IOException, InterruptedException {
    this(jar, routers, hostCount, drainGraceSeconds, FAST_HOST);
  }

  /** A cluster of hosts of that capacity. */
  public RouterCluster(
      Path jar,
      int routers,
      int hostCount,
      double drainGraceSeconds,
      HostModel.Parameters parameters)
      throws IOException, InterruptedException {
    for (int i = 0; i < hostCount; i++) {
      startHost("h" + i, parameters, i);
    }
    ObjectNode settings = RouterSettings.forCluster(routers);
    ((ObjectNode) settings.get("rules")).put("drain_grace", drainGraceSeconds);
    for (int i = 0; i < routers; i++) {
      members.add(new ClusterMember(i, loop, jar, settings, folder));
    }
    runOnLoop(() -> members.forEach(this::announceAll));
  }

  private void startHost(String id, HostModel.Parameters parameters, long seed)
      throws InterruptedException {
    HostModel model = new HostModel(parameters, id.equals(PRIMARY), seed);
    StandinHost host = new StandinHost(model, loop, System::nanoTime, statement -> {});
    host.listen();
    host.setArrivalListener(statement -> recordRequest(id, statement));
    hosts.put(id, host);
  }

  private void recordRequest(String host, Statement statement) {
    int number = ClusterMember.numberFromRequestId(statement.id());
    members.get(number).recordRequest(host, now());
  }

  private void announceAll(ClusterMember member) {
    hosts.keySet().forEach(host -> announce(member, host, Endpoint.State.READY));
  }

  /** The routers with what is their own. */
  public List<ClusterMember> members() {
    return members;
  }

  /** The present in nanoseconds, on the clock that all times here are taken from. */
  public long now() {
    return System.nanoTime();
  }

  /**
   * Computes a value on the loop, where agents, hosts and clients live, and waits for it.
   *
   * @throws IllegalStateException if the task fails, or the loop does not get to it within 20 s
   */
  public <T> T computeOnLoop(Callable<T> task) throws InterruptedException {
    try {
      return loop.submit(task).get(LOOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException e) {
      throw new IllegalStateException("a task of the cluster's event loop failed", e.getCause());
    } catch (TimeoutException e) {
      throw new IllegalStateException(
          "the cluster's event loop took longer than " + LOOP_TIMEOUT_SECONDS + " s", e);
    }
  }

  /** Runs a task on the loop, where agents, hosts and clients live, and waits for its end. */
  public void runOnLoop(Runnable task) throws InterruptedException {
    computeOnLoop(
        () -> {
          task.run();
          return null;
        });
  }

  /** Starts every router with its agent's present list as the one held from before. */
  public void startAll() throws IOException, InterruptedException {
    for (ClusterMember member : members) {
      member.start(computeOnLoop(member.discovery()::fullList));
    }
  }

  /** Has the clients of every router begin to send. */
  public void startLoad(int requestsPerSecondAndRouter) throws InterruptedException {
    runOnLoop(() -> members.forEach(member -> member.load().start(requestsPerSecondAndRouter)));
  }

  /** Has the clients of every router stop sending. */
  public void pauseLoad() throws InterruptedException {
    runOnLoop(() -> members.forEach(member -> member.load().pause()));
  }

  /** A member's agent lists a host with that state; on the loop. */
  public void announce(ClusterMember member, String host, Endpoint.State state) {
    member.discovery().publish(entry(host, host, state));
  }

  /** A list entry with that id that leads to that host, whose id it need not be. */
  public EndpointEntry entry(String id, String host, Endpoint.State state) {
    return entry(id, host, state, 0);
  }

  private EndpointEntry entry(String id, String host, Endpoint.State state, long startedMillis) {
    return new EndpointEntry(
        id, host(host).address(), GROUP, state, startedMillis, id.equals(PRIMARY));
  }

  /** A host's process starts anew, cold, and all agents list that; on the loop. */
  public void restartHost(String host) {
    host(host).model().restart(now());
    long startedMillis = System.currentTimeMillis();
    members.forEach(
        member ->
            member.discovery().publish(entry(host, host, Endpoint.State.READY, startedMillis)));
  }

  private StandinHost host(String id) {
    return Objects.requireNonNull(hosts.get(id), () -> "no host " + id);
  }

  /** The model of a host; used on the loop. */
  public HostModel hostModel(String host) {
    return host(host).model();
  }

  /** Kills the routers, closes all sockets and deletes the routers' files. */
  @Override
  public void close() throws IOException {
    for (ClusterMember member : members) {
      member.close();
    }
    hosts.values().forEach(StandinHost::close);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    Files.deleteIfExists(folder);
  }
}
