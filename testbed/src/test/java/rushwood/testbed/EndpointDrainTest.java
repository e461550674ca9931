package rushwood.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.testbed.DrainingCluster.DRAINED_HOST;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rushwood.api.Endpoint;
import rushwood.testbed.load.ClusterMember;
import rushwood.testbed.load.RouterCluster;
import rushwood.testbed.standin.StandinDiscovery;

/**
 * A host that is announced as draining or removed gets no requests after the drain grace, also when
 * watches, agents, configurations or processes fail or change at the time of the announcement.
 */
class EndpointDrainTest {
  private DrainingCluster draining;
  private RouterCluster cluster;

  @BeforeEach
  void start() throws Exception {
    draining = new DrainingCluster();
    draining.start();
    cluster = draining.cluster();
  }

  @AfterEach
  void stop() throws Exception {
    draining.close();
  }

  @Test
  void announcedOnWatch() throws Exception {
    draining.assertDrainedBy(() -> draining.announce(Endpoint.State.DRAINING));
    draining.announceReady();
    draining.assertDrainedBy(() -> draining.announce(Endpoint.State.REMOVED));
  }

  /** A host that becomes ready again is used again, and can be drained again. */
  @Test
  void announcedWhileWatchIsMuted() throws Exception {
    for (int i = 0; i < 2; i++) {
      draining.assertDrainedBy(
          () -> {
            draining.changeAgents(StandinDiscovery::muteWatches);
            draining.announce(Endpoint.State.DRAINING);
          });
      draining.announceReady();
    }
  }

  @Test
  void announcedWhileWatchIsReset() throws Exception {
    draining.assertDrainedBy(
        () -> {
          draining.changeAgents(StandinDiscovery::resetConnections);
          draining.announce(Endpoint.State.DRAINING);
        });
    draining.announceReady();
    draining.assertDrainedBy(
        () -> {
          draining.changeAgents(agent -> agent.setOffline(true));
          draining.announce(Endpoint.State.DRAINING);
          Thread.sleep(100); // the routers' requests for the list fail
          draining.changeAgents(agent -> agent.setOffline(false));
        });
  }

  /** Discovery is away for longer than any interval between requests for the list. */
  @Test
  void announcedWhileDiscoveryIsAway() throws Exception {
    draining.changeAgents(agent -> agent.setUnresponsive(true));
    Thread.sleep(3700); // discovery does not answer for this time
    draining.announce(Endpoint.State.DRAINING);
    draining.assertDrainedBy(() -> draining.changeAgents(agent -> agent.setUnresponsive(false)));
    draining.announceReady();
    draining.changeAgents(agent -> agent.setOffline(true));
    Thread.sleep(2300); // discovery refuses connections for this time
    draining.announce(Endpoint.State.DRAINING);
    draining.assertDrainedBy(() -> draining.changeAgents(agent -> agent.setOffline(false)));
  }

  /** The new configuration names another agent, which has already announced the host. */
  @Test
  void announcedByNewlyConfiguredAgent() throws Exception {
    ClusterMember reconfigured = draining.member(0);
    StandinDiscovery newAgent = draining.member(1).discovery();
    cluster.runOnLoop(
        () -> {
          cluster.announce(draining.member(1), DRAINED_HOST, Endpoint.State.DRAINING);
          cluster.announce(draining.member(2), DRAINED_HOST, Endpoint.State.DRAINING);
        });
    reconfigured.configureDiscovery(newAgent.address());
    draining.assertDrainedBy(() -> reconfigured.process().signal("HUP"));
    String log = reconfigured.process().log();
    assertTrue(log.contains("discovery is now at"), log);
  }

  /**
   * The router's known list says that the host is ready, yet the host gets not a single request.
   */
  @Test
  void announcedBeforeRouterStarts() throws Exception {
    ClusterMember member = draining.member(0);
    String knownEndpoints = cluster.computeOnLoop(member.discovery()::fullList);
    member.process().signal("KILL");
    cluster.runOnLoop(() -> member.load().pause());
    draining.announce(Endpoint.State.DRAINING);
    Thread.sleep(200); // the killed router's last requests arrive
    long drainedHostBefore = cluster.computeOnLoop(() -> member.requestsReceivedBy(DRAINED_HOST));
    long otherHostBefore = cluster.computeOnLoop(() -> member.requestsReceivedBy("h1"));
    member.start(knownEndpoints);
    draining.startLoad();
    Await.untilRequestsSentToEachRouter(cluster, DrainingCluster.REQUESTS_PER_SECOND_PER_ROUTER);
    assertEquals(
        drainedHostBefore,
        cluster.computeOnLoop(() -> member.requestsReceivedBy(DRAINED_HOST)),
        () -> "requests to the draining host; the router's log: " + logOf(member));
    assertTrue(
        cluster.computeOnLoop(() -> member.requestsReceivedBy("h1")) > otherHostBefore,
        () -> "the router sends nothing to h1; its log: " + logOf(member));
  }

  /**
   * The host is one of hundreds in an indented list. It is announced on watches first, and then
   * while the watches are muted.
   */
  @Test
  void announcedAmongHundredsOfHosts() throws Exception {
    draining.changeAgents(agent -> agent.rewriteResponses(StandinDiscovery::indent));
    draining.publishEndpoints(400);
    draining.awaitRequestsFromAllRouters();
    draining.assertDrainedBy(() -> draining.announce(Endpoint.State.DRAINING));
    draining.announceReady();
    draining.assertDrainedBy(
        () -> {
          draining.changeAgents(StandinDiscovery::muteWatches);
          draining.announce(Endpoint.State.DRAINING);
        });
  }

  /** A process that is continued after SIGSTOP reads the announcement before it sends requests. */
  @Test
  void announcedWhileProcessIsStopped() throws Exception {
    cluster.pauseLoad();
    Thread.sleep(100); // until the last requests have been answered
    for (ClusterMember member : cluster.members()) {
      member.process().signal("STOP");
    }
    long announcedAtNanos = cluster.now();
    draining.announce(Endpoint.State.DRAINING);
    draining.startLoad(); // requests queue in the sockets together with the announcement
    Thread.sleep(600); // longer than the drain grace
    for (ClusterMember member : cluster.members()) {
      member.process().signal("CONT");
    }
    draining.assertDrainedSince(announcedAtNanos);
  }

  private static String logOf(ClusterMember member) {
    try {
      return member.process().log();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
