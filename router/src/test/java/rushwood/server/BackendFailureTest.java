package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.protocol.TestMessages.concat;
import static rushwood.protocol.TestMessages.errorResponse;
import static rushwood.protocol.TestMessages.message;
import static rushwood.protocol.TestMessages.parameterStatus;
import static rushwood.protocol.TestMessages.readyForQuery;
import static rushwood.protocol.TestMessages.rowResponse;
import static rushwood.server.Statements.FAILED;
import static rushwood.server.Statements.REJECTED;
import static rushwood.server.Statements.SERVED;
import static rushwood.server.Statements.read;
import static rushwood.server.Statements.write;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import rushwood.dispatch.Counter;

/** Backends that reject requests, reset connections or truncate their responses. */
class BackendFailureTest {
  /** A recovered backend has to be used again within this time. */
  private static final long MAX_RECOVERY_MILLIS = 600;

  @RegisterExtension final RouterProcessFixture router = RouterProcessFixture.started();

  @Test
  void rejectsWhenBackendIsOverloaded() throws Exception {
    byte[] tooManyConnections = concat(errorResponse("53300"), readyForQuery());
    router.primary().respondWith(tooManyConnections);
    try (TestClient client = router.connect()) {
      assertEquals(REJECTED, client.query(write("w1", 300)));
    }
  }

  /** After a response that ends in mid-row a write fails, as it may have run; a read is retried. */
  @Test
  void backendDisconnectsInMidRow() throws Exception {
    router.primary().responder = statement -> message('T', new byte[] {0, 1});
    router.replica().responder = statement -> message('T', new byte[] {0, 1});
    try (TestClient client = router.connect()) {
      assertEquals(FAILED, client.query(write("w1")));
      router.primary().responder = statement -> StandInBackend.rowResponse("value", "master");
      assertEquals(SERVED, client.query(read("r1")));
    }
  }

  /**
   * A backend that resets new connections is alive: requests go to another one, and the backend is
   * not ejected.
   */
  @Test
  void connectionResetWhileConnecting() throws Exception {
    router.replica().resetsConnections = true;
    try (TestClient client = router.connect()) {
      for (int i = 0; i < 20; i++) {
        assertEquals(SERVED, client.query(read("r" + i)));
      }
      CounterSnapshot counters = client.readCounters();
      assertTrue(counters.get(Counter.ATTEMPTS_NOT_SENT) > 0, counters::toString);
      assertEquals(0, counters.get(Counter.ATTEMPTS_CONNECT_FAILED), counters::toString);
    }
    assertEquals(List.of(), router.outputContaining("ejected host"));
  }

  /**
   * An idle connection that its backend has closed, or on which half a message has arrived, must
   * not make the next request fail.
   */
  @Test
  void idleBackendConnectionEnds() throws Exception {
    byte[] row = StandInBackend.rowResponse("v", "master");
    byte[] rowAndHalfMessage = concat(row, new byte[] {'N', 0, 0});
    try (TestClient client = router.connect()) {
      for (int i = 0; i < 60; i++) {
        boolean leavesHalfMessage = i % 2 == 0;
        router.primary().keepsConnectionOpen = leavesHalfMessage;
        router.primary().respondWith(leavesHalfMessage ? rowAndHalfMessage : row);
        assertEquals(SERVED, client.query(write("w" + i)), "write " + i);
        if (!leavesHalfMessage) {
          router.primary().closeConnections();
        }
        Thread.sleep(i % 5); // the close arrives before, during or after the next request
      }
      CounterSnapshot counters = client.readCounters();
      assertEquals(0, counters.get(Counter.REQUESTS_FAILED), counters::toString);
    }
  }

  /**
   * A write whose connection ends after it was sent completely may have run, so it is not retried.
   */
  @Test
  void backendResetDuringWrite() throws Exception {
    byte[] readOnly =
        concat(errorResponse("25006"), parameterStatus("part", "replica"), readyForQuery());
    byte[] row = StandInBackend.rowResponse("v", "replica");
    router.replica().responder = statement -> statement.startsWith("INSERT") ? readOnly : row;
    byte[] healthReport = concat(rowResponse("x0=1,x1=1"), readyForQuery());
    router.primary().responder =
        // An empty response closes the connection.
        statement -> statement.startsWith("SHOW") ? healthReport : new byte[0];
    long totalExecutions = 0;
    try (TestClient client = router.connect()) {
      for (int i = 0; i < 10; i++) {
        String answer = client.query(write("w" + i));
        long executions =
            router.primary().receivedStatements.stream()
                    .filter(statement -> statement.contains("id=w"))
                    .count()
                - totalExecutions;
        totalExecutions += executions;
        assertTrue(
            (executions == 1 && answer.equals(FAILED))
                || (executions == 0 && answer.equals(REJECTED)),
            "sent " + executions + " times, answer " + answer);
        // Health checks are limited to a share of the requests, so reads are needed.
        for (int readNumber = 0; readNumber < 20; readNumber++) {
          client.query(read("r" + i + "-" + readNumber));
        }
        Thread.sleep(600); // until the primary may get its next trial request
      }
    }
    assertTrue(
        totalExecutions > 1, "the primary was not tried again, writes sent: " + totalExecutions);
  }

  /**
   * Responses that end within or after a row, with the connection closed or left open: clients get
   * an error and no value, and the slots of the attempts are released.
   */
  @Test
  void truncatedBackendResponses() throws Exception {
    byte[] row = rowResponse("value");
    byte[] complete = StandInBackend.rowResponse("value", "replica");
    byte[] withoutCommandComplete = Arrays.copyOf(row, row.length - 14);
    byte[] halfRow = Arrays.copyOf(row, row.length - 16);
    int requestCount = 0;
    for (byte[] truncated : List.of(halfRow, withoutCommandComplete)) {
      for (boolean keepsOpen : new boolean[] {false, true}) {
        for (StandInBackend backend : List.of(router.primary(), router.replica())) {
          backend.keepsConnectionOpen = keepsOpen;
          backend.respondWith(truncated);
        }
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
          clients.add(router.connect());
          clients.get(i).send(read("cut" + requestCount++, 400));
        }
        for (TestClient client : clients) {
          assertTrue(client.readResponse().startsWith("E("), "expected an error and no value");
          client.close();
        }
      }
    }
    router.primary().keepsConnectionOpen = false;
    router.replica().keepsConnectionOpen = false;
    router.primary().respondWith(complete);
    router.replica().respondWith(complete);
    AtomicInteger queries = new AtomicInteger();
    try (TestClient client = router.connect()) {
      Await.until(
          MAX_RECOVERY_MILLIS,
          () -> client.query(read("again" + queries.incrementAndGet())).equals(SERVED),
          () -> "none of " + queries + " queries served after the backends recovered");
    }
    for (int i = 0; i < 30; i++) {
      try (TestClient client = router.connect()) {
        assertEquals(SERVED, client.query(read("complete" + i)));
      }
    }
  }
}
