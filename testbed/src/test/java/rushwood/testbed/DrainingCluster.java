package rushwood.testbed;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import rushwood.api.Endpoint;
import rushwood.testbed.load.ClusterMember;
import rushwood.testbed.load.RouterCluster;
import rushwood.testbed.standin.StandinDiscovery;

/**
 * Three routers under steady load, each with its own discovery agent, and a host that the agents
 * announce as draining or removed. It must receive no requests once the drain grace has passed.
 */
final class DrainingCluster implements AutoCloseable {
  /** The host that is drained. */
  static final String DRAINED_HOST = "h2";

  private static final int ROUTERS = 3;
  private static final int HOSTS = 4;
  static final int REQUESTS_PER_SECOND_PER_ROUTER = 150;
  private static final long DRAIN_GRACE_MILLIS = 500; // tolerates delays on a busy machine
  private static final long OBSERVATION_MILLIS = 300; // after the grace, to detect late requests
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** What a router sends in ten seconds, in which a host that is ready again has to be used. */
  private static final int MIN_AWAITED_REQUESTS = 10 * REQUESTS_PER_SECOND_PER_ROUTER;

  /** A router that chooses evenly misses a given endpoint in one of nine million such waits. */
  private static final int AWAITED_REQUESTS_PER_ENDPOINT = 16;

  /** An action by which the agents announce the host. */
  interface Announcement {
    void run() throws Exception;
  }

  private final RouterCluster cluster;
  private int endpoints = HOSTS;

  DrainingCluster() throws IOException, InterruptedException {
    cluster =
        new RouterCluster(ExperimentRuns.routerJar(), ROUTERS, HOSTS, DRAIN_GRACE_MILLIS / 1000.0);
  }

  /** Starts the routers and their load, and waits until all routers use the host. */
  void start() throws IOException, InterruptedException {
    cluster.startAll();
    startLoad();
    awaitRequestsFromAllRouters();
  }

  RouterCluster cluster() {
    return cluster;
  }

  ClusterMember member(int index) {
    return cluster.members().get(index);
  }

  void startLoad() throws InterruptedException {
    cluster.startLoad(REQUESTS_PER_SECOND_PER_ROUTER);
  }

  /**
   * Waits until each router has sent a new request to the host; otherwise the absence of later
   * requests would prove nothing. The wait is limited in requests, not in time, because a router
   * chooses among equal endpoints at random.
   */
  void awaitRequestsFromAllRouters() throws IOException, InterruptedException {
    long startNanos = cluster.now();
    Await.untilTrueWithinRequests(
        cluster,
        Math.max(MIN_AWAITED_REQUESTS, AWAITED_REQUESTS_PER_ENDPOINT * endpoints),
        () -> haveAllSentSince(startNanos),
        "some router sends no requests to " + DRAINED_HOST);
  }

  private boolean haveAllSentSince(long startNanos) {
    return cluster.members().stream()
        .allMatch(member -> member.lastRequestNanos(DRAINED_HOST) > startNanos);
  }

  /** Publishes a state of the host through all agents. */
  void announce(Endpoint.State state) throws InterruptedException {
    cluster.runOnLoop(
        () -> cluster.members().forEach(member -> cluster.announce(member, DRAINED_HOST, state)));
  }

  /** Publishes further endpoints through all agents; they have the address of another host. */
  void publishEndpoints(int count) throws InterruptedException {
    changeAgents(
        agent ->
            IntStream.range(0, count)
                .forEach(
                    i ->
                        agent.publish(cluster.endpointEntry("x" + i, "h3", Endpoint.State.READY))));
    endpoints = HOSTS + count;
  }

  /** Announces the host as ready, and waits until all routers use it again. */
  void announceReady() throws IOException, InterruptedException {
    announce(Endpoint.State.READY);
    awaitRequestsFromAllRouters();
  }

  /** Applies a change to each agent. */
  void changeAgents(Consumer<StandinDiscovery> change) throws InterruptedException {
    cluster.runOnLoop(() -> cluster.members().forEach(member -> change.accept(member.discovery())));
  }

  /**
   * Runs an announcement, and asserts that the host receives nothing after the drain grace while
   * the clients of the first router go on sending.
   */
  void assertDrainedBy(Announcement announcement) throws Exception {
    long announcedAtNanos = cluster.now();
    announcement.run();
    assertDrainedSince(announcedAtNanos);
  }

  /** Asserts the same as {@link #assertDrainedBy} for an announcement that has been made. */
  void assertDrainedSince(long announcedAtNanos) throws IOException, InterruptedException {
    long sentBefore = cluster.computeOnLoop(() -> member(0).load().requestsSent());
    Thread.sleep(
        DRAIN_GRACE_MILLIS + OBSERVATION_MILLIS); // late requests would arrive in this time
    long lastRequestDelayNanos = cluster.computeOnLoop(this::lastRequestNanos) - announcedAtNanos;
    assertTrue(
        lastRequestDelayNanos < DRAIN_GRACE_MILLIS * NANOS_PER_MILLI,
        "a request came "
            + lastRequestDelayNanos / NANOS_PER_MILLI
            + " ms after the announcement; log of the first router: "
            + member(0).process().log());
    assertTrue(
        cluster.computeOnLoop(() -> member(0).load().requestsSent()) > sentBefore,
        "the first router has stopped serving; its log: " + member(0).process().log());
  }

  private long lastRequestNanos() {
    return cluster.members().stream()
        .mapToLong(member -> member.lastRequestNanos(DRAINED_HOST))
        .max()
        .orElseThrow();
  }

  @Override
  public void close() throws IOException {
    cluster.close();
  }
}
