package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.protocol.TestMessages.messageTypes;
import static rushwood.protocol.TestMessages.query;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** SIGTERM while a router serves: each request that was taken has its whole answer. */
class GracefulShutdownTest extends UnstartedRouterFixture {
  /** A request that comes later than this after SIGTERM and finds no router counts as lost. */
  private static final long MAX_CLOSE_MILLIS = 700;

  /** Open connections are served as long as possible: clients find no other router so soon. */
  @Test
  void servesOpenConnectionsUntilTheLastMoment() throws Exception {
    launchAndAwaitReady();
    Thread.sleep(500); // a pause during the start is past
    try (TestClient idle = new TestClient(port)) {
      long signalledAt = terminate();
      int count = 0;
      while (System.nanoTime() - signalledAt < 2_300_000_000L) {
        assertEquals(SERVED, idle.query(read("r" + count++)));
        Thread.sleep(10);
      }
      assertTrue(idle.isEnded());
      assertExitsInTime(signalledAt);
    }
  }

  /**
   * A process that was suspended lately may be again: idle clients see their connection end early
   * enough for that.
   */
  @Test
  void closesIdleConnectionsEarlierAfterAPause() throws Exception {
    launchAndAwaitReady();
    sendSignal("STOP");
    Thread.sleep(1600);
    sendSignal("CONT");
    Thread.sleep(200); // what comes right after a pause may have come at its start
    try (TestClient idle = new TestClient(port);
        TestClient waiting = new TestClient(port)) {
      assertEquals(SERVED, idle.query(read("r1")));
      replica.responder =
          StandInBackend.respondAfter(
              statement -> 1000, StandInBackend.rowResponse("v", "replica"));
      primary.responder = replica.responder;
      waiting.send(read("r2", 3000));
      Thread.sleep(200);
      long signalledAt = terminate();
      assertTrue(idle.isEnded());
      long elapsedMillis = (System.nanoTime() - signalledAt) / 1_000_000;
      assertTrue(
          elapsedMillis > 200 && elapsedMillis < MAX_CLOSE_MILLIS,
          "not at once, as new ones still come: after " + elapsedMillis + " ms");
      assertEquals(SERVED, waiting.readResponse());
      assertTrue(waiting.isEnded());
      assertExitsInTime(signalledAt);
    }
  }

  /**
   * Clients that are idle and never leave, that wait for a response, also for longer than the
   * process lives, that have pipelined requests, that have sent half of a statement.
   */
  @Test
  void terminatedWithConnectionsInEachState() throws Exception {
    launchAndAwaitReady();
    replica.responder =
        StandInBackend.respondAfter(
            GracefulShutdownTest::delayMillis, StandInBackend.rowResponse("v", "replica"));
    primary.responder = replica.responder;
    List<TestClient> idle = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      idle.add(new TestClient(port));
    }
    try (TestClient waiting = new TestClient(port);
        TestClient pipelining = new TestClient(port);
        TestClient halfWritten = new TestClient(port);
        TestClient silent = new TestClient(port);
        TestClient hung = new TestClient(port)) {
      hung.send(read("hung", 12000));
      assertTrue(nextStatement(replica).contains("hung"));
      waiting.send(read("slow", 5000));
      for (int i = 0; i < 4; i++) {
        pipelining.send(read("slow-ahead" + i, 5000));
      }
      byte[] statement = query(read("half"));
      byte[] firstHalf = Arrays.copyOf(statement, 30);
      halfWritten.sendBytes(firstHalf);
      silent.sendBytes(firstHalf);
      Thread.sleep(100);
      long signalledAt = terminate();
      Thread.sleep(2000);
      halfWritten.sendBytes(Arrays.copyOfRange(statement, firstHalf.length, statement.length));
      assertServedOrRejected(waiting.readResponse());
      assertServedOrRejected(halfWritten.readResponse());
      for (int i = 0; i < 4; i++) {
        // they are served one at a time: no time is left for the last of them
        assertServedOrRejected(pipelining.readResponse());
      }
      assertEquals(REJECTED, hung.readResponse(), "another router may be asked again");
      for (TestClient each : idle) {
        assertTrue(each.isEnded());
      }
      assertExitsInTime(signalledAt);
    } finally {
      for (TestClient each : idle) {
        each.close();
      }
    }
    assertTrue(awaitLogLine("counters").contains("exceptions_caught=0"));
  }

  /** Clients send requests up to the last moment: what got no response was never sent on. */
  @Test
  void unansweredRequestsWereNeverSent() throws Exception {
    launchAndAwaitReady();
    Set<String> unanswered = ConcurrentHashMap.newKeySet();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < 16; i++) {
      String name = "c" + i + "-";
      threads.add(
          new Thread(
              () -> {
                try (TestClient client = new TestClient(port)) {
                  for (int next = 0; ; next++) {
                    String id = name + next + ",";
                    unanswered.add(id);
                    client.send(read(name + next));
                    client.readResponse();
                    unanswered.remove(id);
                  }
                } catch (IOException ended) {
                  return;
                }
              }));
    }
    threads.forEach(Thread::start);
    Thread.sleep(300);
    long signalledAt = terminate();
    for (Thread each : threads) {
      each.join(TIMEOUT_MILLIS);
    }
    assertExitsInTime(signalledAt);
    int received = receivedStatements().size();
    assertTrue(received > 300, "backends received " + received + " statements");
    for (String id : unanswered) {
      assertEquals(List.of(), receivedWithId(id));
    }
  }

  /** A signal that comes during a suspension counts from the suspension's start. */
  @Test
  void terminatedWhileSuspended() throws Exception {
    launchAndAwaitReady();
    try (TestClient client = new TestClient(port)) {
      assertEquals(SERVED, client.query(read("r1")));
      Thread.sleep(100);
      sendSignal("STOP");
      long signalledAt = terminate();
      Thread.sleep(1000);
      sendSignal("CONT");
      client.send(read("r2", 5000));
      String answered = messageTypes(client.socket.getInputStream().readAllBytes());
      assertTrue(
          answered.equals(SERVED)
              || (answered.isEmpty() && !replica.receivedStatements.toString().contains("id=r2,")),
          "whole, or never sent on: " + answered);
      assertExitsInTime(signalledAt);
    }
  }

  /** A request in flight is finished, and further ones are served on old and new connections. */
  @Test
  void finishesAcceptedRequestsOnShutdown() throws Exception {
    launchAndAwaitReady();
    CountDownLatch release = new CountDownLatch(1);
    replica.responder = StandInBackend.respondBehind(release, replica.responder);
    try (TestClient idle = new TestClient(port);
        TestClient busy = new TestClient(port)) {
      busy.send(read("r1", 9000));
      nextStatement(replica);
      terminate();
      awaitLogLine("shutting down");
      try (TestClient late = new TestClient(port)) {
        late.send(write("w1"));
        assertEquals(SERVED, late.readResponse());
        assertEquals(SERVED, idle.query(write("w2")), "it serves on");
        assertTrue(late.isEnded());
      }
      assertTrue(idle.isEnded());
      release.countDown();
      assertEquals(SERVED, busy.readResponse());
      assertTrue(busy.isEnded());
    }
    assertTrue(awaitLogLine("counters").contains("requests_succeeded=3"));
    assertTrue(process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
  }

  private static long delayMillis(String statement) {
    if (statement.contains("slow")) {
      return 1500;
    }
    return statement.contains("hung") ? TIMEOUT_MILLIS : 0;
  }
}
