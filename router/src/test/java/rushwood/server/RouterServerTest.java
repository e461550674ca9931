package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import rushwood.protocol.TestMessages;

/** The whole program in a process of its own, with stand-in hosts and discovery on loopback. */
class RouterServerTest extends RouterProcessFixture {
  /**
   * A new file moves the list to another agent under load; a bad one changes nothing and is looked
   * at again.
   */
  @Test
  void followsAnotherDiscoveryAfterReload() throws Exception {
    awaitWatchRequest(discovery, 41);
    StandInDiscovery otherDiscovery = new StandInDiscovery();
    try (TestClient client = new TestClient(port)) {
      Path config = Files.writeString(folder.resolve("config.json"), "{\"name\":");
      sendHangUp();
      awaitLogLine(
          "the new configuration is not taken: NODE_CONFIG names a file that is no JSON object");
      assertEquals("T D C Z", client.query(withId(READ_STATEMENT, "r1")));
      otherDiscovery.endpointList =
          endpointListJson(
                  true,
                  endpointJson("a", primary, "Ready"),
                  endpointJson("b", replica, "Terminating"))
              .replaceFirst(":\\d+", ":1");
      client.send(withId(READ_STATEMENT, "r2"));
      writeConfig(otherDiscovery);
      awaitWatchRequest(otherDiscovery, 1);
      assertEquals("T D C Z", client.readResponse());
      discovery.close();
      String counters = "";
      while (!counters.contains("endpoint_lists_replaced=2")) {
        counters = readCounters(client);
      }
      replica.receivedStatements.clear();
      assertEquals("T D C Z", client.query(withId(READ_STATEMENT, "r3")));
      assertEquals(
          List.of(), List.copyOf(replica.receivedStatements), "it drains, as the new list says");
      assertTrue(readCounters(client).contains("configs_applied=1 configs_rejected=1"));
      Files.writeString(config, Files.readString(config).replace("256", "300"));
      sendHangUp();
      awaitLogLine("limits.sockets takes a restart");
    } finally {
      otherDiscovery.close();
    }
  }

  @Test
  void servesReadsAndWrites() throws Exception {
    try (TestClient client = new TestClient(port)) {
      assertEquals("I Z", client.query(""));
      assertEquals("T D C Z", client.query(withId(READ_STATEMENT, "r1")));
      String seen = nextStatement(replica);
      assertEquals(
          withId(READ_STATEMENT, "r1").replaceAll("d=\\d+", ""), seen.replaceAll("d=\\d+", ""));
      int waits = Integer.parseInt(seen.replaceAll(".*d=(\\d+).*", "$1"));
      assertTrue(waits > 400 && waits < 900, seen);
      assertEquals("T D C Z", client.query(TestMessages.writeStatement("w1", ",d=900")));
      assertTrue(nextStatement(primary).startsWith("INSERT"));
      String longest =
          TestMessages.writeStatement("w2", ",d=900").replace("9f03", "9f".repeat(64 << 10));
      assertEquals("T D C Z", client.query(longest));
      assertEquals(longest.length(), nextStatement(primary).length(), 3);
      assertEquals(
          "E(22023) Z",
          client.query(withId(READ_STATEMENT, "r2").replace("cluster=2", "cluster=9")));
      assertTrue(client.query("SHOW counters").startsWith("T D D"));
    }
  }

  @Test
  void rejectsWhenBackendIsOverloaded() throws Exception {
    byte[] full =
        TestMessages.concat(TestMessages.errorResponse("53300"), TestMessages.readyForQuery());
    primary.responder = statement -> full;
    try (TestClient client = new TestClient(port)) {
      assertEquals("E(53300) Z", client.query(TestMessages.writeStatement("w1", ",d=300")));
    }
  }

  /** An end in mid-row proves nothing: a write is given up, a read goes on to the other host. */
  @Test
  void backendDisconnectsInMidRow() throws Exception {
    byte[] row = TestMessages.rowResponse("value");
    primary.responder = statement -> TestMessages.message('T', new byte[] {0, 1});
    replica.responder = statement -> TestMessages.message('T', new byte[] {0, 1});
    try (TestClient client = new TestClient(port)) {
      assertEquals("E(58000) Z", client.query(TestMessages.writeStatement("w1", ",d=900")));
      primary.responder =
          statement ->
              TestMessages.concat(
                  row,
                  TestMessages.parameterStatus("part", "master"),
                  TestMessages.readyForQuery());
      assertEquals("T D C Z", client.query(withId(READ_STATEMENT, "r1")));
    }
  }

  /**
   * A host that resets new connections lives: its accesses go elsewhere, and it is not taken for
   * dead.
   */
  @Test
  void connectionResetWhileConnecting() throws Exception {
    replica.resetsConnections = true;
    try (TestClient client = new TestClient(port)) {
      for (int i = 0; i < 20; i++) {
        assertEquals("T D C Z", client.query(withId(READ_STATEMENT, "r" + i)));
      }
      String counters = readCounters(client);
      assertTrue(!counters.contains("attempts_not_sent=0 "), counters);
      assertTrue(counters.contains("attempts_connect_failed=0 "), counters);
    }
    assertEquals(List.of(), processOutput.stream().filter(line -> line.contains("DOWN")).toList());
  }

  @Test
  void drainingBackendsGetNoNewRequests() throws Exception {
    try (TestClient client = new TestClient(port)) {
      assertEquals("T D C Z", client.query(withId(READ_STATEMENT, "r1")));
      discovery.watchEvents.add("");
      discovery.watchEvents.add(endpointListJson(false, endpointJson("b", replica, "Terminating")));
      String counters = "";
      while (!counters.contains("endpoint_lists_updated=1")) {
        counters = readCounters(client);
      }
      replica.receivedStatements.clear();
      assertEquals("T D C Z", client.query(withId(READ_STATEMENT, "r2")));
      assertEquals(List.of(), List.copyOf(replica.receivedStatements));
    }
  }

  @Test
  void watchIsReopenedAfterMalformedEvent() throws Exception {
    awaitWatchRequest(discovery, 41);
    discovery.watchEvents.add("nonsense");
    awaitLogLine("discovery writes what cannot be read");
    awaitWatchRequest(discovery, 41);
    try (TestClient client = new TestClient(port)) {
      assertEquals("T D C Z", client.query(withId(READ_STATEMENT, "r1")));
    }
  }

  @Test
  void finishesAcceptedRequestsOnShutdown() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    Function<String, byte[]> respondNormally = replica.responder;
    replica.responder =
        statement -> {
          try {
            release.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          return respondNormally.apply(statement);
        };
    try (TestClient idle = new TestClient(port);
        TestClient busy = new TestClient(port)) {
      busy.send(withId(READ_STATEMENT, "r1").replace("d=900", "d=9000"));
      nextStatement(replica);
      process.toHandle().destroy(); // leaves its output open
      awaitLogLine("stopping");
      try (TestClient late = new TestClient(port)) {
        late.send(TestMessages.writeStatement("w1", ",d=900"));
        assertEquals("T D C Z", late.readResponse());
        assertEquals(
            "T D C Z", idle.query(TestMessages.writeStatement("w2", ",d=900")), "it serves on");
        assertTrue(late.isEnded());
      }
      assertTrue(idle.isEnded());
      release.countDown();
      assertEquals("T D C Z", busy.readResponse());
      assertTrue(busy.isEnded());
    }
    assertTrue(awaitLogLine("counters").contains("requests_succeeded=3"));
    assertTrue(process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
  }

  /** Hundreds that say nothing all get an end, and who asks then is served. */
  @Test
  void silentConnectionsExhaustSockets() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < 200; i++) {
        sockets.add(new Socket("127.0.0.1", port));
      }
      for (Socket each : sockets) {
        each.setSoTimeout(TIMEOUT_MILLIS);
        int first =
            each.getInputStream().read(); // refused, made to go or told that it was silent too long
        assertTrue(first == 'E' || first < 0);
      }
    } finally {
      for (Socket each : sockets) {
        each.close();
      }
    }
    TestClient client = null;
    for (int waitedMillis = 0;
        waitedMillis < TIMEOUT_MILLIS && client == null;
        waitedMillis += 50) {
      Thread.sleep(50);
      try {
        client = new TestClient(port);
      } catch (AssertionError | IOException notAccepted) {
        continue; // some are not gone yet
      }
    }
    assertEquals("T D C Z", client.query(withId(READ_STATEMENT, "r1")));
    client.close();
  }

  /**
   * Clients that asked once and stayed make room for those that come, the one longest without a
   * word first.
   */
  @Test
  void idleClientsAreClosedForNewOnes() throws Exception {
    List<TestClient> idle = new ArrayList<>();
    try (TestClient client = new TestClient(port)) {
      for (int i = 0; i < 175; i++) {
        idle.add(new TestClient(port));
        assertEquals("I Z", idle.get(i).query(""));
      }
      Thread.sleep(150);
      assertEquals("I Z", client.query(""));
      TestClient late = new TestClient(port);
      idle.add(late);
      assertEquals("T D C Z", late.query(withId(READ_STATEMENT, "r1")));
      assertEquals(
          "T D C Z", client.query(withId(READ_STATEMENT, "r2")), "it was never idle for long");
      assertTrue(idle.get(0).isEnded());
    } finally {
      for (TestClient each : idle) {
        each.close();
      }
    }
  }

  /**
   * The same again as soon as it is turned away: it is told so each time, and after some times no
   * more.
   */
  @Test
  void repeatedInvalidRequestsEndTheConnection() throws Exception {
    try (TestClient client = new TestClient(port)) {
      for (int i = 0; i < 13; i++) {
        assertEquals("E(42601) Z", client.query("SELECT 1"));
      }
      assertEquals('E', client.socket.getInputStream().read());
    }
    try (TestClient client = new TestClient(port)) {
      assertEquals("T D C Z", client.query(withId(READ_STATEMENT, "r1")));
      assertEquals("E(22023) Z", client.query(withId(READ_STATEMENT, "r1")), "an id that was used");
    }
  }

  /** What is half written by many clients does not fill the memory. */
  @Test
  void partialMessagesDoNotExhaustMemory() throws Exception {
    byte[] half = new byte[250_000];
    half[0] = 'Q';
    half[2] = 3; // of a length of 262,143
    half[3] = -1;
    half[4] = -1;
    List<TestClient> clients = new ArrayList<>();
    try (TestClient client = new TestClient(port)) {
      for (int i = 0; i < 100; i++) {
        clients.add(new TestClient(port));
        Socket socket = clients.get(i).socket;
        StandInServer.startThread(() -> socket.getOutputStream().write(half));
      }
      String counters = readCounters(client);
      for (int waitedMillis = 0;
          waitedMillis < TIMEOUT_MILLIS && counters.contains("clients_refused=0");
          waitedMillis += 10) {
        Thread.sleep(10);
        counters = readCounters(client);
      }
      assertTrue(!counters.contains("clients_refused=0"), counters);
      for (int i = 0; i < 20; i++) {
        String answer = client.query(withId(READ_STATEMENT, "r" + i));
        assertTrue(answer.equals("T D C Z") || answer.equals("E(53300) Z"), answer);
      }
    } finally {
      for (TestClient each : clients) {
        each.close();
      }
    }
  }

  @Test
  void malformedInputDoesNotStopTheRouter() throws Exception {
    for (byte[] bytes :
        List.of(
            "GET / HTTP/1.1\r\n\r\n".getBytes(),
            new byte[] {0, 0, 0, 8, 4, -46, 22, 46},
            TestMessages.concat(TestMessages.startup(), new byte[] {'Q', -1, -1, -1, -1}),
            TestMessages.startup())) {
      try (Socket socket = new Socket("127.0.0.1", port)) {
        socket.getOutputStream().write(bytes);
      }
    }
    replica.responder = statement -> "garbage\n\n\n".getBytes();
    try (TestClient client = new TestClient(port)) {
      assertEquals("T D C Z", client.query(withId(READ_STATEMENT, "r1")));
    }
  }
}
