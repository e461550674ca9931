package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rushwood.protocol.TestMessages.concat;
import static rushwood.protocol.TestMessages.messageTypes;
import static rushwood.protocol.TestMessages.query;
import static rushwood.server.Statements.REJECTED;
import static rushwood.server.Statements.read;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import rushwood.dispatch.Counter;

/**
 * SIGTERM while clients have sent many requests at once: each one that was written before the
 * signal gets an answer, however the router has to get through with them.
 */
class PipelinedShutdownTest {
  private static final int CLIENTS = 60;
  private static final int REQUESTS = 100; // of each client
  private static final int TIMEOUT_MILLIS = 5000;
  private static final String UNSOUND = "DROP TABLE state";
  private static final String UNSOUND_ANSWER = "E(42601) Z";

  /** More than the router accepts before it reads the client less often. */
  private static final int UNSOUND_STATEMENTS = 6;

  @RegisterExtension final RouterProcessFixture router = RouterProcessFixture.unstarted();

  /** Requests behind a pending one were lost: the router ended before it had rejected them all. */
  @Test
  void requestsBehindPendingOnesAreAnsweredBeforeTheExit() throws Exception {
    router.launchAndAwaitReady();
    hangBackends();
    List<TestClient> clients = new ArrayList<>();
    try (TestClient paused = router.connect()) {
      for (int i = 0; i < CLIENTS; i++) {
        TestClient client = router.connect();
        clients.add(client);
        client.sendBytes(pipelinedReads("c" + i));
      }
      awaitReceived(CLIENTS);
      byte[] unsound = query(UNSOUND);
      for (int i = 0; i < UNSOUND_STATEMENTS; i++) {
        paused.sendBytes(unsound);
      }
      paused.sendBytes(pipelinedReads("paused"));
      long signalledAt = router.terminate();
      router.assertExitsInTime(signalledAt);
      String allRejected = repeat(REJECTED, REQUESTS);
      for (TestClient client : clients) {
        assertEquals(allRejected, messageTypes(client.readToEnd()));
      }
      assertEquals(
          repeat(UNSOUND_ANSWER, UNSOUND_STATEMENTS) + " " + allRejected,
          messageTypes(paused.readToEnd()));
    } finally {
      for (TestClient client : clients) {
        client.close();
      }
    }
  }

  private void hangBackends() {
    router.replica().responder =
        StandInBackend.respondAfterDelay(
            statement -> Await.TIMEOUT_MILLIS, StandInBackend.rowResponse("v", "replica"));
    router.primary().responder = router.replica().responder;
  }

  private static byte[] pipelinedReads(String idPrefix) {
    byte[][] reads = new byte[REQUESTS][];
    Arrays.setAll(reads, i -> query(read(idPrefix + "-" + i, TIMEOUT_MILLIS)));
    return concat(reads);
  }

  /** Waits until the router has read the input of as many clients. */
  private void awaitReceived(int clientCount) throws Exception {
    try (TestClient observer = router.connect()) {
      RouterProcessFixture.awaitCounters(
          observer, counters -> counters.get(Counter.REQUESTS_RECEIVED) >= clientCount);
    }
  }

  private static String repeat(String answer, int count) {
    return (answer + " ").repeat(count).strip();
  }
}
