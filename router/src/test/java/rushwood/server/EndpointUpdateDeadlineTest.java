package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.protocol.TestMessages.startup;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A change that discovery has and could tell takes effect within 6 s, a new endpoint as well as a
 * draining one, also with a drain grace of 15 s.
 */
class EndpointUpdateDeadlineTest extends RouterProcessFixture {
  private static final long MAX_UPDATE_MILLIS = 6000;

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

  /** Changes the complete list alone: no watch gets an event. */
  private void updateListWithoutWatchEvent() {
    discovery.endpointList =
        endpointListJson(
            true,
            endpointJson("a", primary, "Ready"),
            endpointJson("b", replica, "Terminating"),
            endpointJson("c", newBackend, "Ready"));
  }

  /** Asserts that the new backend gets requests in time, and the draining one none from then on. */
  private void assertUpdateTakesEffect(TestClient client) throws Exception {
    long from = System.nanoTime();
    newBackend.receivedStatements.clear();
    while (newBackend.receivedStatements.stream()
        .noneMatch(each -> each.startsWith("SELECT val"))) {
      assertTrue(
          System.nanoTime() - from < MAX_UPDATE_MILLIS * 1_000_000,
          "no request sent to the new backend within " + MAX_UPDATE_MILLIS + " ms");
      assertEquals(SERVED, client.query(read("r" + requestCount++)));
      Thread.sleep(10);
    }
    replica.receivedStatements.clear();
    for (int i = 0; i < 20; i++) {
      assertEquals(SERVED, client.query(read("r" + requestCount++)));
    }
    assertEquals(
        List.of(),
        replica.receivedStatements.stream().filter(each -> each.startsWith("SELECT val")).toList());
  }

  private TestClient connectClient() throws Exception {
    awaitWatchRequest(discovery, FIRST_LIST_VERSION);
    TestClient client = new TestClient(port);
    assertEquals(SERVED, client.query(read("r" + requestCount++)));
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
    AtomicBoolean isOver = new AtomicBoolean();
    StandInServer.startThread(
        () -> {
          while (!isOver.get()) {
            discovery.watchEvents.add("");
            Thread.sleep(100);
          }
        });
    try (TestClient client = connectClient()) {
      updateListWithoutWatchEvent();
      assertUpdateTakesEffect(client);
    } finally {
      isOver.set(true);
    }
  }

  /** The next calls are accepted and never answered. */
  @Test
  void stalledCalls() throws Exception {
    try (TestClient client = connectClient()) {
      discovery.unansweredCalls.set(2);
      discovery.closeConnections();
      updateListWithoutWatchEvent();
      assertUpdateTakesEffect(client);
    }
  }

  /** Discovery is away when the list changes; the time counts from its return. */
  @Test
  void discoveryBecomesReachableAgain() throws Exception {
    try (TestClient client = connectClient()) {
      discovery.unansweredCalls.set(1000);
      discovery.closeConnections();
      updateListWithoutWatchEvent();
      Thread.sleep(2500);
      discovery.unansweredCalls.set(0);
      assertUpdateTakesEffect(client);
    }
  }

  /** Idle clients take all descriptors that they can get; then discovery closes its connections. */
  @Test
  void clientsTakeAllDescriptors() throws Exception {
    List<Socket> idle = new ArrayList<>();
    try (TestClient client = connectClient()) {
      for (int i = 0; i < 300; i++) {
        Socket socket = new Socket("127.0.0.1", port);
        socket.getOutputStream().write(startup());
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
