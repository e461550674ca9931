package rushwood.testbed;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.testbed.DrainingCluster.DRAINED_HOST;

import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rushwood.api.Endpoint;
import rushwood.testbed.load.ClusterMember;
import rushwood.testbed.standin.StandinDiscovery;

/** A host that is announced as draining is drained even if the lists are indented or malformed. */
class MalformedEndpointListTest {
  private DrainingCluster draining;

  @BeforeEach
  void start() throws Exception {
    draining = new DrainingCluster();
    draining.start();
  }

  @AfterEach
  void stop() throws Exception {
    draining.close();
  }

  /** The list spans many lines, on a watch and as a full list. */
  @Test
  void announcedInIndentedList() throws Exception {
    draining.changeAgents(agent -> agent.rewriteResponses(StandinDiscovery::indent));
    draining.assertDrainedBy(() -> draining.announce(Endpoint.State.DRAINING));
    draining.announceReady();
    draining.assertDrainedBy(
        () -> {
          draining.changeAgents(StandinDiscovery::resetConnections);
          draining.announce(Endpoint.State.DRAINING);
        });
  }

  /** The list is malformed, but the host's id and state are readable. */
  @Test
  void announcedInReadablePartOfMalformedList() throws Exception {
    String drainedId = "\"id\":\"" + DRAINED_HOST + "\"";
    List<UnaryOperator<String>> malformations =
        List.of(
            text -> text.replaceAll("(" + drainedId + "[^}]*\"cell\":)0", "$1\"none\""),
            text -> text.replaceFirst("\"id\":\"h1\",", ""),
            text -> text.replaceFirst("\"state\":\"Ready\"", "\"state\":\"Dozing\""),
            text ->
                text.contains("Terminating")
                    ? text.substring(0, text.indexOf("Terminating") + 20)
                    : text,
            text -> text.replaceFirst("\"version\":\\d+,", ""),
            text -> text.replaceFirst("\"full\":(true|false),", ""));
    for (UnaryOperator<String> malformation : malformations) {
      draining.changeAgents(agent -> agent.rewriteResponses(malformation));
      draining.assertDrainedBy(() -> draining.announce(Endpoint.State.DRAINING));
      draining.changeAgents(StandinDiscovery::stopRewriting);
      draining.announceReady();
    }
  }

  /**
   * The host is announced after an empty, huge, unreadable or truncated list, and after the list's
   * version has gone back.
   */
  @Test
  void announcedAfterUnreadableList() throws Exception {
    String hugeList =
        IntStream.range(0, 100_000)
            .mapToObj(i -> "{\"id\":\"y" + i + "\"}")
            .collect(Collectors.joining(",", "{\"version\":1,\"full\":true,\"servers\":[", "]}"));
    List<String> unreadableLists =
        List.of(
            "",
            "nonsense",
            "{}",
            "[1]",
            "{\"version\":9,\"full\":true,\"servers\":{}}",
            hugeList,
            "{\"version\":9,\"full\":true,\"servers\":[" + " ".repeat(1 << 20));
    for (String list : unreadableLists) {
      draining.changeAgents(
          agent -> {
            agent.rewriteResponses(text -> list);
            agent.resetConnections();
          });
      Thread.sleep(150); // the routers reconnect and read the list
      draining.announce(Endpoint.State.DRAINING);
      draining.assertDrainedBy(() -> draining.changeAgents(StandinDiscovery::stopRewriting));
      draining.announceReady();
    }
    draining.changeAgents(agent -> agent.setVersion(3));
    draining.assertDrainedBy(() -> draining.announce(Endpoint.State.DRAINING));
    draining.announceReady();
    for (ClusterMember member : draining.cluster().members()) {
      String log = member.process().log();
      assertTrue(
          log.contains("discovery sent an endpoint list with an error") && log.contains("servers"),
          log);
      assertFalse(log.contains("unexpected exception"), log);
    }
  }
}
