package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.protocol.TestMessages.concat;
import static rushwood.protocol.TestMessages.errorResponse;
import static rushwood.protocol.TestMessages.message;
import static rushwood.protocol.TestMessages.parameterStatus;
import static rushwood.protocol.TestMessages.readyForQuery;
import static rushwood.protocol.TestMessages.rowResponse;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushwood.dispatch.Counter;

/** Backends that refuse requests, reset connections or cut their responses short. */
class BackendFailureTest extends RouterProcessFixture {
  @Test
  void rejectsWhenBackendIsOverloaded() throws Exception {
    byte[] full = concat(errorResponse("53300"), readyForQuery());
    primary.respondWith(full);
    try (TestClient client = new TestClient(port)) {
      assertEquals(REJECTED, client.query(write("w1", 300)));
    }
  }

  /** A response cut in mid-row proves nothing: a write fails, a read is retried on another host. */
  @Test
  void backendDisconnectsInMidRow() throws Exception {
    primary.responder = statement -> message('T', new byte[] {0, 1});
    replica.responder = statement -> message('T', new byte[] {0, 1});
    try (TestClient client = new TestClient(port)) {
      assertEquals(FAILED, client.query(write("w1")));
      primary.responder = statement -> StandInBackend.rowResponse("value", "master");
      assertEquals(SERVED, client.query(read("r1")));
    }
  }

  /**
   * A backend that resets new connections is alive: requests go elsewhere, and it stays healthy.
   */
  @Test
  void connectionResetWhileConnecting() throws Exception {
    replica.resetsConnections = true;
    try (TestClient client = new TestClient(port)) {
      for (int i = 0; i < 20; i++) {
        assertEquals(SERVED, client.query(read("r" + i)));
      }
      CounterSnapshot counters = client.readCounters();
      assertTrue(counters.get(Counter.ATTEMPTS_NOT_SENT) > 0, counters::toString);
      assertEquals(0, counters.get(Counter.ATTEMPTS_CONNECT_FAILED), counters::toString);
    }
    assertEquals(
        List.of(), processOutput.stream().filter(line -> line.contains("UNREACHABLE")).toList());
  }

  /**
   * The connection for the next attempt was closed by its backend meanwhile, or holds half a
   * message.
   */
  @Test
  void idleBackendConnectionEnds() throws Exception {
    byte[] row = StandInBackend.rowResponse("v", "master");
    byte[] rowAndHalfMessage = concat(row, new byte[] {'N', 0, 0});
    try (TestClient client = new TestClient(port)) {
      for (int i = 0; i < 60; i++) {
        boolean leavesHalfMessage = i % 2 == 0;
        primary.keepsConnectionOpen = leavesHalfMessage;
        primary.respondWith(leavesHalfMessage ? rowAndHalfMessage : row);
        assertEquals(SERVED, client.query(write("w" + i)), "write " + i);
        if (!leavesHalfMessage) {
          primary.closeConnections();
        }
        Thread.sleep(i % 5);
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
    replica.responder = statement -> statement.startsWith("INSERT") ? readOnly : row;
    byte[] report = concat(rowResponse("x0=1,x1=1"), readyForQuery());
    primary.responder =
        statement -> statement.startsWith("SHOW") ? report : new byte[0]; // and the connection ends
    long started = 0;
    try (TestClient client = new TestClient(port)) {
      for (int i = 0; i < 10; i++) {
        String answer = client.query(write("w" + i));
        long executions =
            primary.receivedStatements.stream().filter(each -> each.contains("id=w")).count()
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
        Thread.sleep(600); // then the primary gets a trial request again
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
        for (StandInBackend each : List.of(primary, replica)) {
          each.keepsConnectionOpen = keepsOpen;
          each.respondWith(truncated);
        }
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
          clients.add(new TestClient(port));
          clients.get(i).send(read("cut" + count++, 400));
        }
        for (TestClient each : clients) {
          assertTrue(each.readResponse().startsWith("E("), "no value");
          each.close();
        }
      }
    }
    primary.keepsConnectionOpen = false;
    replica.keepsConnectionOpen = false;
    primary.respondWith(whole);
    replica.respondWith(whole);
    Thread.sleep(600);
    for (int i = 0; i < 30; i++) {
      try (TestClient client = new TestClient(port)) {
        assertEquals(SERVED, client.query(read("whole" + i)));
      }
    }
  }
}
