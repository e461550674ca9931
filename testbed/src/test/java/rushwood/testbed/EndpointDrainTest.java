package rushwood.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.testbed.DrainingCluster.DRAINED_HOST;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rushwood.api.Endpoint;
import rushwood.testbed.load.ClusterMember;
import rushwood.testbed.load.RouterCluster;
import rushwood.testbed.standin.StandinDiscovery;

/**
 * A host that is announced as leaving gets no requests after the drain grace, also when watches,
 * agents, configurations or processes fail or change as it is announced.
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
  void announcedOnAWatch() throws Exception {
    draining.assertDrainedBy(() -> draining.announce(Endpoint.State.DRAINING));
    draining.announceReady();
    draining.assertDrainedBy(() -> draining.announce(Endpoint.State.REMOVED));
  }

  /** A host that comes back under its id is used again, and drained again. */
  @Test
  void announcedAsTheWatchFallsSilent() throws Exception {
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
  void announcedAsTheWatchIsReset() throws Exception {
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
          Thread.sleep(100); // the routers ask in vain
          draining.changeAgents(agent -> agent.setOffline(false));
        });
  }

  /** It was away for longer than any wait between requests for the list. */
  @Test
  void announcedAsDiscoveryReturns() throws Exception {
    draining.changeAgents(agent -> agent.setUnresponsive(true));
    Thread.sleep(3700); // the time that it was away
    draining.announce(Endpoint.State.DRAINING);
    draining.assertDrainedBy(() -> draining.changeAgents(agent -> agent.setUnresponsive(false)));
    draining.announceReady();
    draining.changeAgents(agent -> agent.setOffline(true));
    Thread.sleep(2300); // the time that it was away
    draining.announce(Endpoint.State.DRAINING);
    draining.assertDrainedBy(() -> draining.changeAgents(agent -> agent.setOffline(false)));
  }

  /** A new configuration names another agent, which has announced it. */
  @Test
  void announcedByTheAgentOfANewConfiguration() throws Exception {
    ClusterMember moved = draining.member(0);
    StandinDiscovery other = draining.member(1).discovery();
    cluster.runOnLoop(
        () -> {
          cluster.announce(draining.member(1), DRAINED_HOST, Endpoint.State.DRAINING);
          cluster.announce(draining.member(2), DRAINED_HOST, Endpoint.State.DRAINING);
        });
    moved.configureDiscovery(other.address());
    draining.assertDrainedBy(() -> moved.process().signal("HUP"));
    String log = moved.process().log();
    assertTrue(log.contains("discovery is now at"), log);
  }

  /** The list that it held from before calls the host ready; not one request goes there. */
  @Test
  void announcedBeforeTheRouterStarts() throws Exception {
    ClusterMember member = draining.member(0);
    String knownEndpoints = cluster.computeOnLoop(member.discovery()::fullList);
    member.process().signal("KILL");
    cluster.runOnLoop(() -> member.load().pause());
    draining.announce(Endpoint.State.DRAINING);
    Thread.sleep(200); // what the killed router had sent arrives
    long before = cluster.computeOnLoop(() -> member.requestsSent(DRAINED_HOST));
    long beforeAtOther = cluster.computeOnLoop(() -> member.requestsSent("h1"));
    member.start(knownEndpoints);
    draining.startLoad();
    Await.requestsOfEachRouter(cluster, DrainingCluster.REQUESTS_PER_SECOND);
    assertEquals(
        before,
        cluster.computeOnLoop(() -> member.requestsSent(DRAINED_HOST)),
        () -> "requests to the leaving host; the router's log: " + logOf(member));
    assertTrue(
        cluster.computeOnLoop(() -> member.requestsSent("h1")) > beforeAtOther,
        () -> "the router sends nothing to h1: " + logOf(member));
  }

  /** One entry of hundreds, in an indented list, over a watch that broke. */
  @Test
  void announcedAmongHundredsOfHosts() throws Exception {
    draining.changeAgents(agent -> agent.rewriteResponses(StandinDiscovery::indent));
    draining.changeAgents(
        agent ->
            IntStream.range(0, 400)
                .forEach(i -> agent.publish(cluster.entry("x" + i, "h3", Endpoint.State.READY))));
    draining.awaitTraffic();
    draining.assertDrainedBy(() -> draining.announce(Endpoint.State.DRAINING));
    draining.announceReady();
    draining.assertDrainedBy(
        () -> {
          draining.changeAgents(StandinDiscovery::muteWatches);
          draining.announce(Endpoint.State.DRAINING);
        });
  }

  /** The first thing that a stopped process does as it goes on is to read the announcement. */
  @Test
  void announcedWhileTheProcessIsStopped() throws Exception {
    cluster.pauseLoad();
    Thread.sleep(100); // the last requests are answered
    for (ClusterMember member : cluster.members()) {
      member.process().signal("STOP");
    }
    long announcedAt = cluster.now();
    draining.announce(Endpoint.State.DRAINING);
    draining.startLoad(); // its requests wait beside the announcement
    Thread.sleep(600); // longer than the drain grace
    for (ClusterMember member : cluster.members()) {
      member.process().signal("CONT");
    }
    draining.assertDrainedSince(announcedAt);
  }

  private static String logOf(ClusterMember member) {
    try {
      return member.process().log();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
