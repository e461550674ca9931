package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.protocol.TestMessages.messageTypes;
import static rushwood.protocol.TestMessages.query;
import static rushwood.server.Statements.EMPTY;
import static rushwood.server.Statements.REJECTED;
import static rushwood.server.Statements.SERVED;
import static rushwood.server.Statements.assertServedOrRejected;
import static rushwood.server.Statements.read;
import static rushwood.server.Statements.write;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** SIGTERM while a router serves: each request that it accepted gets a complete answer. */
class GracefulShutdownTest {
  /** A request that finds no router later than this after SIGTERM counts as lost. */
  private static final long MAX_CLOSE_MILLIS = 700;

  @RegisterExtension final RouterProcessFixture router = RouterProcessFixture.unstarted();

  /** Open connections are served as long as possible; clients need time to find another router. */
  @Test
  void servesOpenConnectionsUntilTheDrain() throws Exception {
    router.launchAndAwaitReady();
    Thread.sleep(500); // lets pauses during the start pass
    try (TestClient idle = router.connect()) {
      long signalledAt = router.terminate();
      int requestCount = 0;
      while (System.nanoTime() - signalledAt < 2_300_000_000L) {
        assertEquals(SERVED, idle.query(read("r" + requestCount++)));
        Thread.sleep(10); // interval of the requests
      }
      assertTrue(idle.isClosedByRouter());
      router.assertExitsInTime(signalledAt);
    }
  }

  /**
   * A process that was suspended recently may be suspended again, so the router closes idle
   * connections earlier.
   */
  @Test
  void closesIdleConnectionsEarlierAfterAPause() throws Exception {
    router.launchAndAwaitReady();
    router.sendSignal("STOP");
    Thread.sleep(1600); // length of the pause
    router.sendSignal("CONT");
    Thread.sleep(200); // a signal right after a pause counts from its start
    try (TestClient idle = router.connect();
        TestClient waiting = router.connect()) {
      assertEquals(SERVED, idle.query(read("r1")));
      router.replica().responder =
          StandInBackend.respondAfterDelay(
              statement -> 1000, StandInBackend.rowResponse("v", "replica"));
      router.primary().responder = router.replica().responder;
      waiting.send(read("r2", 3000));
      awaitReceived("r2");
      long signalledAt = router.terminate();
      assertTrue(idle.isClosedByRouter());
      long elapsedMillis = (System.nanoTime() - signalledAt) / 1_000_000;
      assertTrue(
          // not at once, because new connections still arrive
          elapsedMillis > 200 && elapsedMillis < MAX_CLOSE_MILLIS,
          "idle connection closed after " + elapsedMillis + " ms");
      assertEquals(SERVED, waiting.readResponse());
      assertTrue(waiting.isClosedByRouter());
      router.assertExitsInTime(signalledAt);
    }
  }

  /**
   * SIGTERM while clients are idle and never disconnect, wait for a response (one of them for
   * longer than the process runs), have pipelined requests, or have sent half of a statement.
   */
  @Test
  void terminatedWithConnectionsInEachState() throws Exception {
    router.launchAndAwaitReady();
    router.replica().responder =
        StandInBackend.respondAfterDelay(
            GracefulShutdownTest::delayMillis, StandInBackend.rowResponse("v", "replica"));
    router.primary().responder = router.replica().responder;
    List<TestClient> idle = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      idle.add(router.connect());
    }
    try (TestClient waiting = router.connect();
        TestClient pipelining = router.connect();
        TestClient halfWritten = router.connect();
        TestClient silent = router.connect();
        TestClient hung = router.connect()) {
      hung.send(read("hung", 12000));
      assertTrue(router.replica().nextStatement().contains("hung"));
      waiting.send(read("slow", 5000));
      for (int i = 0; i < 4; i++) {
        pipelining.send(read("slow-ahead" + i, 5000));
      }
      byte[] statement = query(read("half"));
      byte[] firstHalf = Arrays.copyOf(statement, 30);
      halfWritten.sendBytes(firstHalf);
      silent.sendBytes(firstHalf);
      awaitReceived("slow");
      awaitReceived("slow-ahead0");
      try (TestClient late = router.connect()) {
        assertEquals(EMPTY, late.query(""), "the router has read the halves before");
      }
      long signalledAt = router.terminate();
      Thread.sleep(2000); // the second half arrives late in the shutdown
      halfWritten.sendBytes(Arrays.copyOfRange(statement, firstHalf.length, statement.length));
      assertServedOrRejected(waiting.readResponse());
      assertServedOrRejected(halfWritten.readResponse());
      for (int i = 0; i < 4; i++) {
        // served one after the other, so that there is no time for the last of them
        assertServedOrRejected(pipelining.readResponse());
      }
      assertEquals(
          REJECTED,
          hung.readResponse(),
          "rejected, so that the client can retry on another router");
      for (TestClient client : idle) {
        assertTrue(client.isClosedByRouter());
      }
      router.assertExitsInTime(signalledAt);
    } finally {
      for (TestClient client : idle) {
        client.close();
      }
    }
    assertTrue(router.awaitLogLine("counters").contains("exceptions_caught=0"));
  }

  /** Clients send requests until the end: a request without a response reached no backend. */
  @Test
  void unansweredRequestsReachNoBackend() throws Exception {
    router.launchAndAwaitReady();
    Set<String> unanswered = ConcurrentHashMap.newKeySet();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < 16; i++) {
      String idPrefix = "c" + i + "-";
      threads.add(
          new Thread(
              () -> {
                try (TestClient client = router.connect()) {
                  for (int next = 0; ; next++) {
                    String id = idPrefix + next + ",";
                    unanswered.add(id);
                    client.send(read(idPrefix + next));
                    client.readResponse();
                    unanswered.remove(id);
                  }
                } catch (IOException connectionClosed) {
                  return;
                }
              }));
    }
    threads.forEach(Thread::start);
    Await.until(
        () -> router.receivedStatements().size() >= threads.size(),
        () -> "backends received too few requests");
    long signalledAt = router.terminate();
    for (Thread thread : threads) {
      Await.termination(thread);
    }
    router.assertExitsInTime(signalledAt);
    int received = router.receivedStatements().size();
    assertTrue(received > 300, "backends received " + received + " statements");
    for (String id : unanswered) {
      assertEquals(List.of(), router.receivedWithIdPrefix(id));
    }
  }

  /** A signal that arrives during a suspension counts from the start of the suspension. */
  @Test
  void terminatedWhileSuspended() throws Exception {
    router.launchAndAwaitReady();
    try (TestClient client = router.connect()) {
      assertEquals(SERVED, client.query(read("r1")));
      Thread.sleep(100); // lets idle turns pass between the request and the pause
      router.sendSignal("STOP");
      long signalledAt = router.terminate();
      Thread.sleep(1000); // length of the pause after the signal
      router.sendSignal("CONT");
      client.send(read("r2", 5000));
      String answered = messageTypes(client.socket.getInputStream().readAllBytes());
      assertTrue(
          answered.equals(SERVED)
              || (answered.isEmpty()
                  && !router.replica().receivedStatements.toString().contains("id=r2,")),
          "answered neither completely nor kept from the backends: " + answered);
      router.assertExitsInTime(signalledAt);
    }
  }

  /** Finishes a request in flight and serves further ones on open and on new connections. */
  @Test
  void finishesAcceptedRequestsOnShutdown() throws Exception {
    router.launchAndAwaitReady();
    CountDownLatch release = new CountDownLatch(1);
    router.replica().responder =
        StandInBackend.respondAfterGate(release, router.replica().responder);
    try (TestClient idle = router.connect();
        TestClient busy = router.connect()) {
      busy.send(read("r1", 9000));
      router.replica().nextStatement();
      router.terminate();
      router.awaitLogLine("shutting down");
      try (TestClient late = router.connect()) {
        late.send(write("w1"));
        assertEquals(SERVED, late.readResponse());
        assertEquals(SERVED, idle.query(write("w2")), "the router still serves");
        assertTrue(late.isClosedByRouter());
      }
      assertTrue(idle.isClosedByRouter());
      release.countDown();
      assertEquals(SERVED, busy.readResponse());
      assertTrue(busy.isClosedByRouter());
    }
    assertTrue(router.awaitLogLine("counters").contains("requests_succeeded=3"));
    router.awaitExit();
  }

  private void awaitReceived(String id) throws Exception {
    Await.until(
        () -> !router.receivedWithIdPrefix(id + ",").isEmpty(),
        () -> id + " was not sent to a backend");
  }

  private static long delayMillis(String statement) {
    if (statement.contains("slow")) {
      return 1500;
    }
    return statement.contains("hung") ? Await.TIMEOUT_MILLIS : 0;
  }
}
