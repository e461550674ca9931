package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rushwood.server.RouterProcessFixture.endpointJson;
import static rushwood.server.Statements.SERVED;
import static rushwood.server.Statements.read;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A discovery agent that answers every call late, from the start of the router on. */
class SlowDiscoveryTest {
  /** The time within which the router has to know a change that its agent has. */
  private static final long MAX_UPDATE_MILLIS = 6000;

  private static final long OBSERVED_MILLIS = 1000;

  @RegisterExtension final RouterProcessFixture router = RouterProcessFixture.unstarted();

  /** Guards against a router that goes on sending requests to a host that drains. */
  @ParameterizedTest
  @ValueSource(longs = {700, 2000})
  void drainIsObeyedInTime(long answerDelayMillis) throws Exception {
    router.discovery().answerDelayMillis = answerDelayMillis;
    router.launchAndAwaitReady();
    try (TestClient client = router.connect()) {
      assertEquals(SERVED, client.query(read("first")));
      router.discovery().endpointList =
          router.endpointListJson(
              true,
              endpointJson("a", router.primary(), "Ready"),
              endpointJson("b", router.replica(), "Terminating"));
      long changedAt = System.nanoTime();
      readUntil(client, changedAt, MAX_UPDATE_MILLIS, "before");
      router.replica().receivedStatements.clear();
      readUntil(client, changedAt, MAX_UPDATE_MILLIS + OBSERVED_MILLIS, "after");
      List<String> received =
          router.replica().receivedStatements.stream()
              .filter(statement -> statement.startsWith("SELECT val"))
              .toList();
      assertEquals(List.of(), received, "reads sent to the host that drains");
    }
  }

  private static void readUntil(TestClient client, long since, long elapsedMillis, String idPrefix)
      throws Exception {
    long end = since + TimeUnit.MILLISECONDS.toNanos(elapsedMillis);
    for (int i = 0; System.nanoTime() < end; i++) {
      assertEquals(SERVED, client.query(read(idPrefix + i)));
    }
  }
}
