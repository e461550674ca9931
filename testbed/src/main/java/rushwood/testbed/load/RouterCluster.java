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
 * Several router processes, each with its own discovery agent and its own clients, and stand-in
 * hosts {@code h0}, {@code h1}, ... that all routers share. Everything except the routers runs on
 * one event loop of this process.
 */
public final class RouterCluster implements AutoCloseable {
  // Always warm, and fast enough that requests do not wait.
  private static final HostModel.Parameters FAST_HOST =
      new HostModel.Parameters(4000, 8, 64, 0.15, 0, 4, 0, 0);

  private static final int LOOP_TIMEOUT_SECONDS = 20; // a task takes milliseconds
  private static final String PRIMARY = "h0";
  private static final int GROUP = 0;

  private final MultiThreadIoEventLoopGroup eventLoopGroup =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) eventLoopGroup.next();
  private final Path directory = Files.createTempDirectory("cluster");
  private final List<ClusterMember> members = new ArrayList<>();
  private final Map<String, StandinHost> hosts = new LinkedHashMap<>();

  /**
   * Creates a cluster of fast hosts that are always warm.
   *
   * @param drainGraceSeconds the routers' setting {@code drain_grace}
   */
  public RouterCluster(Path jar, int routerCount, int hostCount, double drainGraceSeconds)
      throws IOException, InterruptedException {
    this(jar, routerCount, hostCount, drainGraceSeconds, FAST_HOST);
  }

  /**
   * Creates a cluster and starts its hosts and discovery agents; the routers are started by {@link
   * #startAll}.
   *
   * @param drainGraceSeconds the routers' setting {@code drain_grace}
   * @param parameters the parameters of each host's model
   */
  public RouterCluster(
      Path jar,
      int routerCount,
      int hostCount,
      double drainGraceSeconds,
      HostModel.Parameters parameters)
      throws IOException, InterruptedException {
    for (int i = 0; i < hostCount; i++) {
      startHost("h" + i, parameters, i);
    }
    ObjectNode settings = RouterSettings.forCluster(routerCount);
    ((ObjectNode) settings.get("rules")).put("drain_grace", drainGraceSeconds);
    for (int i = 0; i < routerCount; i++) {
      members.add(new ClusterMember(i, loop, jar, settings, directory));
    }
    runOnLoop(() -> members.forEach(this::announceAllHosts));
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
    int index = ClusterMember.indexFromRequestId(statement.id());
    members.get(index).recordRequest(host, now());
  }

  private void announceAllHosts(ClusterMember member) {
    hosts.keySet().forEach(host -> announce(member, host, Endpoint.State.READY));
  }

  /** Returns the routers, each with its discovery agent and its clients. */
  public List<ClusterMember> members() {
    return members;
  }

  /** Returns the time in nanoseconds on the clock of this cluster and of its hosts. */
  public long now() {
    return System.nanoTime();
  }

  /**
   * Computes a value on the event loop, which owns the agents, hosts and clients, and waits for it.
   *
   * @throws IllegalStateException if the task fails or does not complete within 20 s
   */
  public <T> T computeOnLoop(Callable<T> task) throws InterruptedException {
    try {
      return loop.submit(task).get(LOOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException e) {
      throw new IllegalStateException("task failed on the cluster's event loop", e.getCause());
    } catch (TimeoutException e) {
      throw new IllegalStateException(
          "task not completed on the cluster's event loop within " + LOOP_TIMEOUT_SECONDS + " s",
          e);
    }
  }

  /** Runs a task on the event loop, as {@link #computeOnLoop} does, and waits for its end. */
  public void runOnLoop(Runnable task) throws InterruptedException {
    computeOnLoop(
        () -> {
          task.run();
          return null;
        });
  }

  /** Starts every router with its agent's current list as the one known from an earlier run. */
  public void startAll() throws IOException, InterruptedException {
    for (ClusterMember member : members) {
      member.start(computeOnLoop(member.discovery()::fullList));
    }
  }

  /** Starts the clients of every router. */
  public void startLoad(int requestsPerSecondPerRouter) throws InterruptedException {
    runOnLoop(() -> members.forEach(member -> member.load().start(requestsPerSecondPerRouter)));
  }

  /** Makes the clients of every router stop sending. */
  public void pauseLoad() throws InterruptedException {
    runOnLoop(() -> members.forEach(member -> member.load().pause()));
  }

  /** Publishes a state of a host through a member's agent; called on the event loop. */
  public void announce(ClusterMember member, String host, Endpoint.State state) {
    member.discovery().publish(endpointEntry(host, host, state));
  }

  /** Returns an endpoint list entry for a host; its id may differ from the host's own. */
  public EndpointEntry endpointEntry(String id, String host, Endpoint.State state) {
    return endpointEntry(id, host, state, 0);
  }

  private EndpointEntry endpointEntry(
      String id, String host, Endpoint.State state, long startedMillis) {
    return new EndpointEntry(
        id, host(host).address(), GROUP, state, startedMillis, id.equals(PRIMARY));
  }

  /**
   * Restarts the model of a host, which is cold afterwards, and publishes the new start time
   * through all agents. The host's connections stay open. Called on the event loop.
   */
  public void restartHost(String host) {
    host(host).model().restart(now());
    long startedMillis = System.currentTimeMillis();
    members.forEach(
        member ->
            member
                .discovery()
                .publish(endpointEntry(host, host, Endpoint.State.READY, startedMillis)));
  }

  private StandinHost host(String id) {
    return Objects.requireNonNull(hosts.get(id), () -> "the cluster has no host " + id);
  }

  /** Makes a host send only parts of its responses; called on the event loop. */
  public void sendPartialResponses(String host, int bytes) {
    host(host).sendPartialResponses(bytes);
  }

  /** Returns the model of a host, which is used on the event loop. */
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
    eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    Files.deleteIfExists(directory);
  }
}
