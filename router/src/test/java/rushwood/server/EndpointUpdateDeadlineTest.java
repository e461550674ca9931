package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rushwood.protocol.TestMessages.startup;
import static rushwood.server.RouterProcessFixture.FIRST_LIST_VERSION;
import static rushwood.server.RouterProcessFixture.endpointJson;
import static rushwood.server.Statements.SERVED;
import static rushwood.server.Statements.read;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * A change of the endpoint list takes effect within 6 s once discovery can be reached, for a new
 * endpoint as well as a draining one, even with a drain grace of 15 s.
 */
class EndpointUpdateDeadlineTest {
  private static final long MAX_UPDATE_MILLIS = 6000;

  @RegisterExtension
  final RouterProcessFixture router =
      RouterProcessFixture.startedWith(
          settings -> settings.replace("\"fall\":", "\"drain_grace\":15.0,\"fall\":"));

  private StandInBackend newBackend;
  private int requestCount;

  @BeforeEach
  void startNewBackend() throws IOException {
    newBackend = new StandInBackend("replica");
  }

  @AfterEach
  void stopNewBackend() throws IOException {
    newBackend.close();
  }

  /** Changes the complete list, but sends no event to the watch. */
  private void updateListWithoutWatchEvent() {
    router.discovery().endpointList =
        router.endpointListJson(
            true,
            endpointJson("a", router.primary(), "Ready"),
            endpointJson("b", router.replica(), "Terminating"),
            endpointJson("c", newBackend, "Ready"));
  }

  /** Asserts that the new backend gets requests in time and the draining one none after that. */
  private void assertUpdateTakesEffect(TestClient client) throws Exception {
    newBackend.receivedStatements.clear();
    Await.until(
        MAX_UPDATE_MILLIS,
        () -> {
          assertEquals(SERVED, client.query(read("r" + requestCount++)));
          return !receivedReads(newBackend).isEmpty();
        },
        () -> "no request sent to the new backend within " + MAX_UPDATE_MILLIS + " ms");
    router.replica().receivedStatements.clear();
    for (int i = 0; i < 20; i++) {
      assertEquals(SERVED, client.query(read("r" + requestCount++)));
    }
    assertEquals(List.of(), receivedReads(router.replica()));
  }

  /** Returns the reads of clients that the backend received, without health checks. */
  private static List<String> receivedReads(StandInBackend backend) {
    return backend.receivedStatements.stream()
        .filter(statement -> statement.startsWith("SELECT val"))
        .toList();
  }

  private TestClient connectClient() throws Exception {
    router.discovery().awaitWatchRequest(FIRST_LIST_VERSION);
    TestClient client = router.connect();
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
    AtomicBoolean stopped = new AtomicBoolean();
    StandInServer.startThread(
        () -> {
          while (!stopped.get()) {
            router.discovery().watchEvents.add("");
            Thread.sleep(100); // the interval of the heartbeats
          }
        });
    try (TestClient client = connectClient()) {
      updateListWithoutWatchEvent();
      assertUpdateTakesEffect(client);
    } finally {
      stopped.set(true);
    }
  }

  /** Discovery accepts the next two calls and never answers them. */
  @Test
  void stalledCalls() throws Exception {
    try (TestClient client = connectClient()) {
      router.discovery().unansweredCalls.set(2);
      router.discovery().closeConnections();
      updateListWithoutWatchEvent();
      assertUpdateTakesEffect(client);
    }
  }

  /** Discovery does not answer when the list changes; the time counts from its recovery. */
  @Test
  void discoveryBecomesReachableAgain() throws Exception {
    try (TestClient client = connectClient()) {
      router.discovery().unansweredCalls.set(1000);
      router.discovery().closeConnections();
      updateListWithoutWatchEvent();
      Thread.sleep(2500); // longer than the router waits between two calls
      router.discovery().unansweredCalls.set(0);
      assertUpdateTakesEffect(client);
    }
  }

  /** Idle clients take all available descriptors; then discovery closes its connections. */
  @Test
  void clientsTakeAllDescriptors() throws Exception {
    List<Socket> idle = new ArrayList<>();
    try (TestClient client = connectClient()) {
      for (int i = 0; i < 300; i++) {
        Socket socket = new Socket("127.0.0.1", router.port());
        socket.getOutputStream().write(startup());
        idle.add(socket);
      }
      router.discovery().closeConnections();
      updateListWithoutWatchEvent();
      assertUpdateTakesEffect(client);
    } finally {
      for (Socket socket : idle) {
        socket.close();
      }
    }
  }
}
