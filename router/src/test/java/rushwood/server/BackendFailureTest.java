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

/** Backends that refuse requests, reset connections or cut their responses short. */
class BackendFailureTest {
  /** Within this time a backend whose responses were cut short is used again. */
  private static final long MAX_RECOVERY_MILLIS = 600;

  @RegisterExtension final RouterProcessFixture router = RouterProcessFixture.started();

  @Test
  void rejectsWhenBackendIsOverloaded() throws Exception {
    byte[] full = concat(errorResponse("53300"), readyForQuery());
    router.primary().respondWith(full);
    try (TestClient client = router.connect()) {
      assertEquals(REJECTED, client.query(write("w1", 300)));
    }
  }

  /** A response cut in mid-row proves nothing: a write fails, a read is retried on another host. */
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
   * A backend that resets new connections is alive: requests go elsewhere, and it stays healthy.
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
    assertEquals(List.of(), router.outputWith("ejected host"));
  }

  /**
   * The connection for the next attempt was closed by its backend meanwhile, or holds half a
   * message.
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
        Thread.sleep(i % 5); // the close is read before, between and after the next bytes
      }
      CounterSnapshot counters = client.readCounters();
      assertEquals(0, counters.get(Counter.REQUESTS_FAILED), counters::toString);
    }
  }

  /** A write whose connection is reset after all of it was sent may have run: it is not retried. */
  @Test
  void backendResetDuringWrite() throws Exception {
    byte[] readOnly =
        concat(errorResponse("25006"), parameterStatus("part", "replica"), readyForQuery());
    byte[] row = StandInBackend.rowResponse("v", "replica");
    router.replica().responder = statement -> statement.startsWith("INSERT") ? readOnly : row;
    byte[] report = concat(rowResponse("x0=1,x1=1"), readyForQuery());
    router.primary().responder =
        statement -> statement.startsWith("SHOW") ? report : new byte[0]; // and the connection ends
    long started = 0;
    try (TestClient client = router.connect()) {
      for (int i = 0; i < 10; i++) {
        String answer = client.query(write("w" + i));
        long executions =
            router.primary().receivedStatements.stream()
                    .filter(statement -> statement.contains("id=w"))
                    .count()
                - started;
        started += executions;
        assertTrue(
            (executions == 1 && answer.equals(FAILED))
                || (executions == 0 && answer.equals(REJECTED)),
            "sent " + executions + " times and answered " + answer);
        for (int more = 0;
            more < 20;
            more++) { // the health-check budget is a share of the requests
          client.query(read("r" + i + "-" + more));
        }
        Thread.sleep(600); // so long the primary gets no trial request
      }
    }
    assertTrue(started > 1, "the primary was tried again: " + started);
  }

  /**
   * Responses that are cut in a row or behind it, with the connection closed or left open: clients
   * get an error and no value, and the slots of the attempts become free again.
   */
  @Test
  void truncatedBackendResponses() throws Exception {
    byte[] row = rowResponse("value");
    byte[] whole = StandInBackend.rowResponse("value", "replica");
    byte[] withoutCompletion = Arrays.copyOf(row, row.length - 14);
    byte[] halfRow = Arrays.copyOf(row, row.length - 16);
    int count = 0;
    for (byte[] truncated : List.of(halfRow, withoutCompletion)) {
      for (boolean keepsOpen : new boolean[] {false, true}) {
        for (StandInBackend backend : List.of(router.primary(), router.replica())) {
          backend.keepsConnectionOpen = keepsOpen;
          backend.respondWith(truncated);
        }
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
          clients.add(router.connect());
          clients.get(i).send(read("cut" + count++, 400));
        }
        for (TestClient client : clients) {
          assertTrue(client.readResponse().startsWith("E("), "no value");
          client.close();
        }
      }
    }
    router.primary().keepsConnectionOpen = false;
    router.replica().keepsConnectionOpen = false;
    router.primary().respondWith(whole);
    router.replica().respondWith(whole);
    AtomicInteger tries = new AtomicInteger();
    try (TestClient client = router.connect()) {
      Await.until(
          MAX_RECOVERY_MILLIS,
          () -> client.query(read("again" + tries.incrementAndGet())).equals(SERVED),
          () -> "not served " + tries + " times after the backends recovered");
    }
    for (int i = 0; i < 30; i++) {
      try (TestClient client = router.connect()) {
        assertEquals(SERVED, client.query(read("whole" + i)));
      }
    }
  }
}
