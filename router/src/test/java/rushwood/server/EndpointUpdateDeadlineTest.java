package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rushwood.protocol.TestMessages;

/**
 * What discovery has and could tell counts 6 s later, with a grace of 15 s too: a start as well as
 * a drain.
 */
class EndpointUpdateDeadlineTest extends RouterProcessFixture {
  private static final long MAX_UPDATE_MILLIS = 6000; // ms
  private static final String READ = TestMessages.readStatement("ID", ",d=900");

  private StandInBackend newBackend;
  private int requestCount;

  @Override
  String settingsJson() {
    return super.settingsJson().replace("\"fall\":", "\"drain_grace\":15.0,\"fall\":");
  }

  @BeforeEach
  void startNewBackend() throws IOException {
    newBackend = new StandInBackend("replica");
  }

  @AfterEach
  void stopNewBackend() throws IOException {
    newBackend.close();
  }

  /** In the whole list alone: whatever watches there are say nothing of it. */
  private void updateListWithoutWatchEvent() {
    discovery.endpointList =
        endpointListJson(
            true,
            endpointJson("a", primary, "Ready"),
            endpointJson("b", replica, "Terminating"),
            endpointJson("c", newBackend, "Ready"));
  }

  /**
   * Within the time the host that starts is sent to, and after that nothing goes to the one that
   * drains.
   */
  private void assertUpdateTakesEffect(TestClient client) throws Exception {
    long from = System.nanoTime();
    newBackend.receivedStatements.clear();
    while (newBackend.receivedStatements.stream()
        .noneMatch(each -> each.startsWith("SELECT val"))) {
      assertTrue(
          System.nanoTime() - from < MAX_UPDATE_MILLIS * 1_000_000,
          "not sent to within " + MAX_UPDATE_MILLIS + " ms");
      assertEquals("T D C Z", client.query(withId(READ, "r" + requestCount++)));
      Thread.sleep(10);
    }
    replica.receivedStatements.clear();
    for (int i = 0; i < 20; i++) {
      assertEquals("T D C Z", client.query(withId(READ, "r" + requestCount++)));
    }
    assertEquals(
        List.of(),
        replica.receivedStatements.stream().filter(each -> each.startsWith("SELECT val")).toList());
  }

  private TestClient connectClient() throws Exception {
    awaitWatchRequest(discovery, 41);
    TestClient client = new TestClient(port);
    assertEquals("T D C Z", client.query(withId(READ, "r" + requestCount++)));
    return client;
  }

  @Test
  void silentWatch() throws Exception {
    try (TestClient client = connectClient()) {
      updateListWithoutWatchEvent();
      assertUpdateTakesEffect(client);
    }
  }

  @Test
  void watchWithHeartbeatsOnly() throws Exception {
    boolean[] over = new boolean[1];
    StandInServer.startThread(
        () -> {
          while (!over[0]) {
            discovery.watchEvents.add("");
            Thread.sleep(100);
          }
        });
    try (TestClient client = connectClient()) {
      updateListWithoutWatchEvent();
      assertUpdateTakesEffect(client);
    } finally {
      over[0] = true;
    }
  }

  /** The next calls are taken and never answered. */
  @Test
  void stalledCalls() throws Exception {
    try (TestClient client = connectClient()) {
      discovery.unansweredCalls = 2;
      discovery.closeConnections();
      updateListWithoutWatchEvent();
      assertUpdateTakesEffect(client);
    }
  }

  /** It is away when the host starts; its return counts. */
  @Test
  void discoveryBecomesReachableAgain() throws Exception {
    try (TestClient client = connectClient()) {
      discovery.unansweredCalls = 1000;
      discovery.closeConnections();
      updateListWithoutWatchEvent();
      Thread.sleep(2500);
      discovery.unansweredCalls = 0;
      assertUpdateTakesEffect(client);
    }
  }

  /** Idle clients take every descriptor that they can, and discovery ends its connections then. */
  @Test
  void clientsTakeAllDescriptors() throws Exception {
    List<Socket> idle = new ArrayList<>();
    try (TestClient client = connectClient()) {
      for (int i = 0; i < 300; i++) {
        Socket socket = new Socket("127.0.0.1", port);
        socket.getOutputStream().write(TestMessages.startup());
        idle.add(socket);
      }
      discovery.closeConnections();
      updateListWithoutWatchEvent();
      assertUpdateTakesEffect(client);
    } finally {
      for (Socket each : idle) {
        each.close();
      }
    }
  }
}
