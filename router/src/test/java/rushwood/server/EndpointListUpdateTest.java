package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rushwood.server.RouterProcessFixture.FIRST_LIST_VERSION;
import static rushwood.server.RouterProcessFixture.awaitCounters;
import static rushwood.server.RouterProcessFixture.endpointJson;
import static rushwood.server.Statements.SERVED;
import static rushwood.server.Statements.read;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import rushwood.dispatch.Counter;

/** Changes of the endpoint list, or of the discovery address, while the router serves. */
class EndpointListUpdateTest {
  @RegisterExtension final RouterProcessFixture router = RouterProcessFixture.started();

  @Test
  void drainingBackendsGetNoNewRequests() throws Exception {
    try (TestClient client = router.connect()) {
      assertEquals(SERVED, client.query(read("r1")));
      router.discovery().watchEvents.add("");
      router
          .discovery()
          .watchEvents
          .add(router.endpointListJson(false, endpointJson("b", router.replica(), "Terminating")));
      awaitCounters(client, counters -> counters.get(Counter.ENDPOINT_LISTS_UPDATED) >= 1);
      router.replica().receivedStatements.clear();
      assertEquals(SERVED, client.query(read("r2")));
      assertEquals(List.of(), List.copyOf(router.replica().receivedStatements));
    }
  }

  @Test
  void watchIsReopenedAfterMalformedEvent() throws Exception {
    router.discovery().awaitWatchRequest(FIRST_LIST_VERSION);
    router.discovery().watchEvents.add("nonsense");
    router.awaitLogLine("discovery sent an unreadable endpoint list");
    router.discovery().awaitWatchRequest(FIRST_LIST_VERSION);
    try (TestClient client = router.connect()) {
      assertEquals(SERVED, client.query(read("r1")));
    }
  }

  /**
   * A reloaded configuration switches the router to another discovery agent while a request is in
   * flight; an invalid file changes nothing and is read again.
   */
  @Test
  void followsAnotherDiscoveryAfterReload() throws Exception {
    router.discovery().awaitWatchRequest(FIRST_LIST_VERSION);
    StandInDiscovery otherDiscovery = new StandInDiscovery();
    try (TestClient client = router.connect()) {
      Path config = Files.writeString(router.configFile(), "{\"name\":");
      router.sendSignal("HUP");
      router.awaitLogLine(
          "ignored the new configuration: NODE_CONFIG names a file that is not a JSON object");
      assertEquals(SERVED, client.query(read("r1")));
      otherDiscovery.endpointList =
          router
              .endpointListJson(
                  true,
                  endpointJson("a", router.primary(), "Ready"),
                  endpointJson("b", router.replica(), "Terminating"))
              .replaceFirst(":\\d+", ":1");
      client.send(read("r2"));
      router.writeConfig(otherDiscovery);
      otherDiscovery.awaitWatchRequest(1);
      assertEquals(SERVED, client.readResponse());
      router.discovery().close();
      awaitCounters(client, counters -> counters.get(Counter.ENDPOINT_LISTS_REPLACED) >= 2);
      router.replica().receivedStatements.clear();
      assertEquals(SERVED, client.query(read("r3")));
      assertEquals(
          List.of(),
          List.copyOf(router.replica().receivedStatements),
          "the replica is draining in the new list");
      CounterSnapshot counters = client.readCounters();
      assertEquals(1, counters.get(Counter.CONFIGS_APPLIED));
      assertEquals(1, counters.get(Counter.CONFIGS_REJECTED));
      Files.writeString(config, Files.readString(config).replace("256", "300"));
      router.sendSignal("HUP");
      router.awaitLogLine("ignored the new value of limits.sockets");
    } finally {
      otherDiscovery.close();
    }
  }
}
