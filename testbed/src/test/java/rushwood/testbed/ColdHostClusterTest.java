package rushwood.testbed;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rushwood.testbed.load.ClusterMember;
import rushwood.testbed.load.RouterCluster;
import rushwood.testbed.model.HostModel;

/** Five routers share a host that starts cold; together they must not overload it. */
class ColdHostClusterTest {
  private static final int ROUTERS = 5;
  // 200 in total, of the 360 that the three warm hosts can serve.
  private static final int REQUESTS_PER_SECOND_PER_ROUTER = 40;
  private static final String COLD_HOST = "h3";
  private static final HostModel.Parameters HOST_PARAMETERS =
      new HostModel.Parameters(120, 8, 64, 0.15, 14_000_000_000L, 4, 1_000_000_000L, 0);

  private RouterCluster cluster;

  @BeforeEach
  void start() throws Exception {
    cluster = new RouterCluster(ExperimentRuns.routerJar(), ROUTERS, 4, 2, HOST_PARAMETERS);
    startRoutersAndLoad();
  }

  @AfterEach
  void stop() throws Exception {
    cluster.close();
  }

  private void startRoutersAndLoad() throws Exception {
    cluster.startAll();
    cluster.startLoad(REQUESTS_PER_SECOND_PER_ROUTER);
  }

  /**
   * Asserts that the work that reached the cold host in any overload window exceeded the host's
   * limit by no more than random variation explains: 2 * sqrt(N) + 2 requests, where N is the limit
   * in requests at the host's lowest speed.
   */
  private void assertColdHostNotOverloaded() throws Exception {
    Thread.sleep(4000); // the slowest part of its warm-up of 14 s
    double limitRequests =
        HOST_PARAMETERS.overloadMultiple()
            * HOST_PARAMETERS.coldStartSpeed()
            * HOST_PARAMETERS.rate()
            * HOST_PARAMETERS.overloadWindowNanos()
            / 1e9;
    double load = cluster.computeOnLoop(() -> cluster.hostModel(COLD_HOST).worstColdOverload());
    assertTrue(
        load > 0.05, "the cold host received hardly any requests: " + load + " times its limit");
    assertTrue(
        load <= 1 + (2 * Math.sqrt(limitRequests) + 2) / limitRequests,
        "the cold host received " + load + " times its limit");
  }

  @Test
  void hostRestartsUnderLoad() throws Exception {
    Await.untilRequestsSentToEachRouter(cluster, 3 * REQUESTS_PER_SECOND_PER_ROUTER / 2);
    cluster.runOnLoop(() -> cluster.restartHost(COLD_HOST));
    assertColdHostNotOverloaded();
  }

  /** After their restart the routers do not know the throughput of the warm hosts. */
  @Test
  void allRoutersRestartTogetherWithTheHost() throws Exception {
    Await.untilRequestsSentToEachRouter(cluster, REQUESTS_PER_SECOND_PER_ROUTER / 2);
    for (ClusterMember member : cluster.members()) {
      member.process().signal("KILL");
    }
    cluster.pauseLoad();
    cluster.runOnLoop(() -> cluster.restartHost(COLD_HOST));
    startRoutersAndLoad();
    assertColdHostNotOverloaded();
  }
}
