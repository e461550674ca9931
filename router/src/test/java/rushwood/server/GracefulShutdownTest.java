package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rushwood.protocol.TestMessages;

/**
 * SIGTERM and SIGHUP at any moment of a process: each request that was taken has its whole answer.
 */
class GracefulShutdownTest extends RouterProcessFixture {
  // The longest deadline of the settings, 5 s, taken as 3 s, and 0.7 s more: then SIGKILL comes.
  private static final long MAX_EXIT_MILLIS = 3700; // ms
  private static final long MAX_CLOSE_MILLIS =
      700; // ms: a request that comes later and finds no answer is lost

  private int listenPort;

  @Override
  int listenPort() {
    return listenPort;
  }

  @Override
  @BeforeEach
  void startRouter() throws Exception {
    try (ServerSocket free = new ServerSocket(0)) {
      listenPort = free.getLocalPort();
    }
    port = listenPort;
    startStandIns();
  }

  /** Sent as a signal, at once; its output stays open. */
  private long terminate() {
    process.toHandle().destroy();
    return System.nanoTime();
  }

  private void assertExitsInTime(long signalledAt) throws InterruptedException {
    assertTrue(process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    long elapsedMillis = (System.nanoTime() - signalledAt) / 1_000_000;
    assertTrue(elapsedMillis < MAX_EXIT_MILLIS, "it ended after " + elapsedMillis + " ms");
  }

  /** In the moment in which it first can be reached, with a request on its way. */
  @Test
  void terminatedAsItBeginsToListen() throws Exception {
    for (int i = 0; i < 3; i++) {
      launchProcess();
      Socket socket = null;
      while (socket == null) {
        try {
          socket = new Socket("127.0.0.1", port);
        } catch (IOException notYet) {
          Thread.onSpinWait();
        }
      }
      socket
          .getOutputStream()
          .write(
              TestMessages.concat(
                  TestMessages.startup(), TestMessages.query(withId(READ_STATEMENT, "r" + i))));
      long signalledAt = terminate();
      socket.setSoTimeout(TIMEOUT_MILLIS);
      assertEquals(
          "R S S S S S K Z T D C Z",
          TestMessages.messageTypes(socket.getInputStream().readAllBytes()));
      socket.close();
      assertExitsInTime(signalledAt);
    }
  }

  /** Before it listens: it never does, and ends at once. */
  @Test
  void terminatedBeforeItListens() throws Exception {
    discovery.unansweredCalls = 1000;
    for (long delayMillis : new long[] {0, 300, 600, 900, 1200}) {
      launchProcess();
      Thread.sleep(delayMillis);
      long signalledAt = terminate();
      assertTrue(process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
      assertTrue(
          System.nanoTime() - signalledAt < 2_500_000_000L
              || processOutput.stream().anyMatch(each -> each.contains("serves at")),
          "it ends at once");
    }
  }

  /** It serves on its connections while it can, as its clients find no other router so soon. */
  @Test
  void servesOpenConnectionsUntilTheLastMoment() throws Exception {
    launchAndAwaitReady();
    Thread.sleep(500); // no pause of its first moments is near
    try (TestClient idle = new TestClient(port)) {
      long signalledAt = terminate();
      int count = 0;
      while (System.nanoTime() - signalledAt < 2_300_000_000L) {
        assertEquals("T D C Z", idle.query(withId(READ_STATEMENT, "r" + count++)));
        Thread.sleep(10);
      }
      assertTrue(idle.isEnded());
      assertExitsInTime(signalledAt);
    }
  }

  /**
   * One that stood still lately may do so again: a client that rests sees its connection end in
   * time for that.
   */
  @Test
  void closesIdleConnectionsEarlierAfterAPause() throws Exception {
    launchAndAwaitReady();
    sendSignal("STOP");
    Thread.sleep(1600);
    sendSignal("CONT");
    Thread.sleep(200); // what comes right behind a pause may have come at its start
    try (TestClient idle = new TestClient(port);
        TestClient waiting = new TestClient(port)) {
      assertEquals("T D C Z", idle.query(withId(READ_STATEMENT, "r1")));
      replica.responder =
          statement -> {
            try {
              Thread.sleep(1000);
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
            return TestMessages.concat(
                TestMessages.rowResponse("v"),
                TestMessages.parameterStatus("part", "replica"),
                TestMessages.readyForQuery());
          };
      primary.responder = replica.responder;
      waiting.send(withId(READ_STATEMENT, "r2").replace("d=900", "d=3000"));
      Thread.sleep(200);
      long signalledAt = terminate();
      assertTrue(idle.isEnded());
      long elapsedMillis = (System.nanoTime() - signalledAt) / 1_000_000;
      assertTrue(
          elapsedMillis > 200 && elapsedMillis < MAX_CLOSE_MILLIS,
          "not at once, as new ones come: after " + elapsedMillis + " ms");
      assertEquals("T D C Z", waiting.readResponse());
      assertTrue(waiting.isEnded());
      assertExitsInTime(signalledAt);
    }
  }

  private void launchAndAwaitReady() throws Exception {
    launchProcess();
    awaitLogLine("serves at");
  }

  /**
   * Clients that rest and never end, that wait, also for longer than this process is there, that
   * wrote ahead, that have written half of a statement.
   */
  @Test
  void terminatedWithConnectionsInEachState() throws Exception {
    launchAndAwaitReady();
    replica.responder =
        statement -> {
          try {
            Thread.sleep(
                statement.contains("slow")
                    ? 1500
                    : statement.contains("hung") ? TIMEOUT_MILLIS : 0);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          return TestMessages.concat(
              TestMessages.rowResponse("v"),
              TestMessages.parameterStatus("part", "replica"),
              TestMessages.readyForQuery());
        };
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
      hung.send(withId(READ_STATEMENT, "hung").replace("d=900", "d=12000"));
      assertTrue(nextStatement(replica).contains("hung"));
      waiting.send(withId(READ_STATEMENT, "slow").replace("d=900", "d=5000"));
      for (int i = 0; i < 4; i++) {
        pipelining.send(withId(READ_STATEMENT, "slow-ahead" + i).replace("d=900", "d=5000"));
      }
      byte[] statement = TestMessages.query(withId(READ_STATEMENT, "half"));
      halfWritten.socket.getOutputStream().write(statement, 0, 30);
      silent.socket.getOutputStream().write(statement, 0, 30);
      Thread.sleep(100);
      long signalledAt = terminate();
      Thread.sleep(2000);
      halfWritten
          .socket
          .getOutputStream()
          .write(Arrays.copyOfRange(statement, 30, statement.length));
      assertServedOrRejected(waiting.readResponse());
      assertServedOrRejected(halfWritten.readResponse());
      for (int i = 0; i < 4; i++) {
        assertServedOrRejected(
            pipelining.readResponse()); // one at a time: for the last of them there is no time left
      }
      assertEquals("E(53300) Z", hung.readResponse(), "it may be asked again, of another router");
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

  /** Served, or turned back where hosts hang and no time is left. */
  private static void assertServedOrRejected(String answer) {
    assertTrue(answer.equals("T D C Z") || answer.equals("E(53300) Z"), answer);
  }

  /** Requests on all connections up to the last moment: what has no answer was never sent on. */
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
                    client.send(TestMessages.readStatement(name + next, ",d=900"));
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
    List<String> received = new ArrayList<>(replica.receivedStatements);
    received.addAll(primary.receivedStatements);
    assertTrue(received.size() > 300, "they were asked " + received.size() + " times");
    for (String id : unanswered) {
      assertEquals(List.of(), received.stream().filter(each -> each.contains("id=" + id)).toList());
    }
  }

  /**
   * Told while it stands still it was told at some moment of that: its end is counted from the
   * first.
   */
  @Test
  void terminatedWhileSuspended() throws Exception {
    launchAndAwaitReady();
    try (TestClient client = new TestClient(port)) {
      assertEquals("T D C Z", client.query(withId(READ_STATEMENT, "r1")));
      Thread.sleep(100);
      sendSignal("STOP");
      long signalledAt = terminate();
      Thread.sleep(1000);
      sendSignal("CONT");
      client.send(withId(READ_STATEMENT, "r2").replace("d=900", "d=5000"));
      byte[] rest = client.socket.getInputStream().readAllBytes();
      String answered = TestMessages.messageTypes(rest);
      assertTrue(
          answered.equals("T D C Z")
              || answered.isEmpty() && !replica.receivedStatements.toString().contains("id=r2,"),
          "whole, or never sent on: " + answered);
      assertExitsInTime(signalledAt);
    }
  }

  /**
   * While it starts, twice, the file half written first: it follows the agent that the last file
   * names.
   */
  @Test
  void hangUpDuringStart() throws Exception {
    StandInDiscovery otherDiscovery = new StandInDiscovery();
    try {
      otherDiscovery.endpointList =
          endpointListJson(
              true, endpointJson("a", primary, "Ready"), endpointJson("b", replica, "Ready"));
      launchProcess();
      // The folder of the warm-up is there: the program runs, and is nowhere near its end of
      // the start.
      while (Arrays.stream(folder.toFile().list()).noneMatch(each -> each.startsWith("warmup"))) {
        Thread.sleep(1);
      }
      Files.writeString(folder.resolve("config.json"), "{\"name\":");
      sendHangUp();
      Thread.sleep(100);
      writeConfig(otherDiscovery);
      sendHangUp();
      awaitLogLine("discovery is at");
      awaitWatchRequest(otherDiscovery, listVersion);
      while (process.isAlive()) {
        try (TestClient client = new TestClient(port)) {
          assertEquals("T D C Z", client.query(withId(READ_STATEMENT, "r1")));
          return;
        } catch (IOException notYet) {
          Thread.sleep(20);
        }
      }
      throw new AssertionError("it ended");
    } finally {
      otherDiscovery.close();
    }
  }
}
