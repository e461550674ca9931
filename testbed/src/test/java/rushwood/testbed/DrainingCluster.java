package rushwood.testbed;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.function.Consumer;
import rushwood.api.Endpoint;
import rushwood.testbed.load.ClusterMember;
import rushwood.testbed.load.RouterCluster;
import rushwood.testbed.standin.StandinDiscovery;

/**
 * Three routers under steady load, each with an agent of its own, and a host that the agents
 * announce as leaving. A host must get nothing once the drain grace has passed.
 */
final class DrainingCluster implements AutoCloseable {
  /** The host that leaves. */
  static final String DRAINED_HOST = "h2";

  private static final int ROUTERS = 3;
  private static final int HOSTS = 4;
  static final int REQUESTS_PER_SECOND = 150; // and router
  private static final long DRAIN_GRACE_MILLIS = 500; // leaves some room for a busy machine
  private static final long MARGIN_MILLIS = 300; // after the grace, to see what still comes
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** What happens as the host is announced. */
  interface Announcement {
    void run() throws Exception;
  }

  private final RouterCluster cluster;

  DrainingCluster() throws IOException, InterruptedException {
    cluster =
        new RouterCluster(ExperimentRuns.ROUTER_JAR, ROUTERS, HOSTS, DRAIN_GRACE_MILLIS / 1000.0);
  }

  /** Starts the routers and their load, and waits until all of them use the host. */
  void start() throws IOException, InterruptedException {
    cluster.startAll();
    startLoad();
    awaitTraffic();
  }

  RouterCluster cluster() {
    return cluster;
  }

  ClusterMember member(int number) {
    return cluster.members().get(number);
  }

  void startLoad() throws InterruptedException {
    cluster.startLoad(REQUESTS_PER_SECOND);
  }

  /**
   * Waits until each router has sent to the host: that none does later would else prove nothing.
   */
  void awaitTraffic() throws IOException, InterruptedException {
    long from = cluster.now();
    Await.onLoop(cluster, () -> allHaveSentSince(from), DRAINED_HOST + " gets nothing");
  }

  private boolean allHaveSentSince(long from) {
    return cluster.members().stream().allMatch(member -> member.lastRequestAt(DRAINED_HOST) > from);
  }

  /** All agents list the host with that state. */
  void announce(Endpoint.State state) throws InterruptedException {
    cluster.runOnLoop(
        () -> cluster.members().forEach(member -> cluster.announce(member, DRAINED_HOST, state)));
  }

  /** The host is back, and waits until all routers use it again. */
  void announceReady() throws IOException, InterruptedException {
    announce(Endpoint.State.READY);
    awaitTraffic();
  }

  /** Changes all agents. */
  void changeAgents(Consumer<StandinDiscovery> change) throws InterruptedException {
    cluster.runOnLoop(() -> cluster.members().forEach(member -> change.accept(member.discovery())));
  }

  /** Asserts that the host, once announced, gets nothing after the grace, while others do. */
  void assertDrainedBy(Announcement announcement) throws Exception {
    long announcedAt = cluster.now();
    announcement.run();
    assertDrainedSince(announcedAt);
  }

  /** Asserts the same of an announcement that has been made. */
  void assertDrainedSince(long announcedAt) throws IOException, InterruptedException {
    long sentBefore = cluster.computeOnLoop(() -> member(0).load().sent());
    Thread.sleep(DRAIN_GRACE_MILLIS + MARGIN_MILLIS); // nothing may come late in this time
    long lastRequest = cluster.computeOnLoop(this::lastRequestAt) - announcedAt;
    assertTrue(
        lastRequest < DRAIN_GRACE_MILLIS * NANOS_PER_MILLI,
        lastRequest / NANOS_PER_MILLI + " ms after it was announced: " + member(0).process().log());
    assertTrue(
        cluster.computeOnLoop(() -> member(0).load().sent()) > sentBefore,
        "the first router does not serve on: " + member(0).process().log());
  }

  private long lastRequestAt() {
    return cluster.members().stream()
        .mapToLong(member -> member.lastRequestAt(DRAINED_HOST))
        .max()
        .orElseThrow();
  }

  @Override
  public void close() throws IOException {
    cluster.close();
  }
}
