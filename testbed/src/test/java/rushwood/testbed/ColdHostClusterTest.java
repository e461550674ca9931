package rushwood.testbed;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rushwood.testbed.load.ClusterMember;
import rushwood.testbed.load.RouterCluster;
import rushwood.testbed.model.HostModel;

/** Five routers and a host that starts cold: what all of them send it is no more than it bears. */
class ColdHostClusterTest {
  private static final int ROUTERS = 5;
  private static final int REQUESTS_PER_SECOND = 40; // and router; three warm hosts do twice that
  private static final String COLD_HOST = "h3";
  private static final HostModel.Parameters PARAMETERS =
      new HostModel.Parameters(120, 8, 64, 0.15, 14_000_000_000L, 4, 1_000_000_000L, 0);

  private RouterCluster cluster;

  @BeforeEach
  void start() throws Exception {
    cluster = new RouterCluster(ExperimentRuns.ROUTER_JAR, ROUTERS, 4, 2, PARAMETERS);
    startAll();
  }

  @AfterEach
  void stop() throws Exception {
    cluster.close();
  }

  private void startAll() throws Exception {
    cluster.startAll();
    cluster.startLoad(REQUESTS_PER_SECOND);
  }

  /**
   * In the window of its first seconds it bears N requests; 2 x root of N + 2 more may come by
   * chance.
   */
  private void assertColdHostBearsItsLoad() throws Exception {
    Thread.sleep(4000); // the coldest seconds of the 14 that it warms up
    double bearable =
        PARAMETERS.overloadMultiple()
            * PARAMETERS.coldStartSpeed()
            * PARAMETERS.rate()
            * PARAMETERS.overloadWindowNanos()
            / 1e9;
    double load = cluster.computeOnLoop(() -> cluster.hostModel(COLD_HOST).worstColdOverload());
    assertTrue(
        load > 0.05, "hardly any request came to the cold host: " + load + " times what it bears");
    assertTrue(load <= 1 + (2 * Math.sqrt(bearable) + 2) / bearable, load + " times what it bears");
  }

  @Test
  void hostRestartsUnderLoad() throws Exception {
    Await.requestsOfEachRouter(cluster, 3 * REQUESTS_PER_SECOND / 2);
    cluster.runOnLoop(() -> cluster.restartHost(COLD_HOST));
    assertColdHostBearsItsLoad();
  }

  /** No router remembers what the warm hosts do. */
  @Test
  void allRoutersRestartTogetherWithTheHost() throws Exception {
    Await.requestsOfEachRouter(cluster, REQUESTS_PER_SECOND / 2);
    for (ClusterMember member : cluster.members()) {
      member.process().signal("KILL");
    }
    cluster.pauseLoad();
    cluster.runOnLoop(() -> cluster.restartHost(COLD_HOST));
    startAll();
    assertColdHostBearsItsLoad();
  }
}
