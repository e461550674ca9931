package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.server.RouterProcessFixture.endpointJson;
import static rushwood.server.Statements.REJECTED;
import static rushwood.server.Statements.SERVED;
import static rushwood.server.Statements.assertServedOrRejected;
import static rushwood.server.Statements.read;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** A router starts with a list of its former process while discovery is silent. */
class StartWithoutDiscoveryTest {
  private static final long DRAIN_GRACE_MILLIS =
      6000; // longer than the start of the test's process
  private static final long SLACK_MILLIS = 50;
  private static final int SILENT = 1_000_000; // calls

  @RegisterExtension
  final RouterProcessFixture router =
      RouterProcessFixture.unstartedWith(
          settings ->
              settings.replace(
                  "\"ask_within\"",
                  "\"drain_grace\":" + DRAIN_GRACE_MILLIS / 1000 + ",\"ask_within\""));

  /**
   * Requests reached a host that had begun to drain before the start for as long as discovery was
   * silent: the list of the former process was used without a limit.
   */
  @Test
  void cachedListIsUsedNoLongerThanTheDrainGrace() throws Exception {
    router.discovery().unansweredCalls.set(SILENT);
    String drainingReplica =
        router.endpointListJson(
            true,
            endpointJson("a", router.primary(), "Ready"),
            endpointJson("b", router.replica(), "Terminating"));
    long startedAt = System.nanoTime();
    router.launchAndAwaitReady();
    router.discovery().endpointList = drainingReplica;
    try (TestClient client = router.connect()) {
      int requestCount = 0;
      int receivedInTime = 0;
      while (millisSince(startedAt) < DRAIN_GRACE_MILLIS + 2000) {
        assertServedOrRejected(client.query(read("r" + requestCount++)));
        if (millisSince(startedAt) < DRAIN_GRACE_MILLIS + SLACK_MILLIS) {
          receivedInTime = router.receivedStatements().size();
        }
      }
      assertTrue(receivedInTime > 0, "the cached list serves at first");
      assertEquals(
          receivedInTime, router.receivedStatements().size(), "statements after the grace");
      assertEquals(REJECTED, client.query(read("held-back")));
      router.discovery().unansweredCalls.set(0);
      Await.until(
          () -> client.query(read("again" + System.nanoTime())).equals(SERVED),
          () -> "not served after the return of discovery: " + router.output());
      assertEquals(
          List.of(),
          router.replica().receivedStatements.stream()
              .filter(statement -> statement.contains("again"))
              .toList());
    }
    router.terminate();
  }

  private static long millisSince(long nanoTime) {
    return (System.nanoTime() - nanoTime) / 1_000_000;
  }
}
