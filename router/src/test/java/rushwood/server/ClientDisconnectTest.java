package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.protocol.TestMessages.concat;
import static rushwood.protocol.TestMessages.message;
import static rushwood.protocol.TestMessages.query;
import static rushwood.protocol.TestMessages.startup;
import static rushwood.server.RouterProcessFixture.awaitCounters;
import static rushwood.server.Statements.EMPTY;
import static rushwood.server.Statements.SERVED;
import static rushwood.server.Statements.largeWrite;
import static rushwood.server.Statements.read;
import static rushwood.server.Statements.write;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import rushwood.dispatch.Counter;

/**
 * No attempt begins for a client that has disconnected. Its request waits because no endpoint is
 * ready, or because the connection to the backend is not open yet; then the client disconnects,
 * then backends take whatever they are sent. Attempts cannot be cancelled here, so that only those
 * that have not begun can be withheld.
 */
class ClientDisconnectTest {
  private static final int LONG_TIMEOUT_MILLIS = 8000; // half of it may be spent in the wait queue

  /** Longer than the 100 ms after the disconnect within which an attempt may still begin. */
  private static final int DISCONNECT_MILLIS = 150;

  /** Time for an attempt that should have been withheld to arrive at a backend. */
  private static final int LATE_ATTEMPT_MILLIS = 300;

  private static final int CLIENT_COUNT = 50;

  @RegisterExtension
  final RouterProcessFixture router =
      RouterProcessFixture.startedWith(
          settings -> settings.replace("\"may_cancel\":true", "\"may_cancel\":false"));

  private final List<TestClient> clients = new ArrayList<>();

  private interface ClientAction {
    void apply(TestClient client) throws Exception;
  }

  @AfterEach
  void closeClients() throws IOException {
    for (TestClient client : clients) {
      client.close();
    }
  }

  /** Time itself is tested: an attempt that begins later than this is a fault. */
  private static void letDisconnectTakeEffect() throws InterruptedException {
    Thread.sleep(DISCONNECT_MILLIS);
  }

  /** Nothing shows that nothing comes but time. */
  private static void letLateAttemptsArrive() throws InterruptedException {
    Thread.sleep(LATE_ATTEMPT_MILLIS);
  }

  private TestClient connectClient() throws IOException {
    TestClient client = router.connect();
    clients.add(client);
    return client;
  }

  /** Makes all endpoints drain, so that new requests wait in the queue. */
  private TestClient drainAllBackends() throws Exception {
    TestClient staying = connectClient();
    assertEquals(SERVED, staying.query(read("first")));
    router.publishBackends("Terminating");
    // By the watch or by a poll, whichever comes first; the list of the start is the other one.
    awaitCounters(staying, counters -> counters.appliedEndpointLists() >= 2);
    router.replica().receivedStatements.clear();
    router.primary().receivedStatements.clear();
    return staying;
  }

  private void awaitAcceptedRequests(long requests) throws Exception {
    try (TestClient observer = router.connect()) {
      CounterSnapshot counters =
          awaitCounters(observer, latest -> latest.get(Counter.REQUESTS_RECEIVED) >= requests);
      assertEquals(requests, counters.get(Counter.REQUESTS_RECEIVED));
    }
  }

  /**
   * Disconnects fifty clients whose requests are queued: another queued client is served, and no
   * backend receives a request of the fifty.
   */
  private void disconnectWhileQueued(ClientAction action) throws Exception {
    drainAllBackends();
    List<TestClient> leaving = new ArrayList<>();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      leaving.add(connectClient());
      leaving.get(i).send(read("gone" + i, LONG_TIMEOUT_MILLIS));
    }
    awaitAcceptedRequests(CLIENT_COUNT + 1);
    for (TestClient client : leaving) {
      action.apply(client);
    }
    letDisconnectTakeEffect();
    TestClient late = connectClient();
    late.send(read("stays", LONG_TIMEOUT_MILLIS));
    awaitAcceptedRequests(CLIENT_COUNT + 2);
    router.publishBackends("Ready");
    assertEquals(SERVED, late.readResponse());
    assertNothingSentForDisconnected();
  }

  private void assertNothingSentForDisconnected() {
    assertEquals(List.of(), router.receivedWithId("gone"));
  }

  @Test
  void connectionClosed() throws Exception {
    disconnectWhileQueued(TestClient::close);
  }

  @Test
  void connectionReset() throws Exception {
    disconnectWhileQueued(
        client -> {
          client.socket.setSoLinger(true, 0);
          client.close();
        });
  }

  /** The client says that it ends and leaves its socket open. */
  @Test
  void terminateMessage() throws Exception {
    disconnectWhileQueued(client -> client.sendBytes(message('X', new byte[0])));
  }

  /** The same after statements that it had pipelined. */
  @Test
  void terminateMessageAfterPipelinedStatements() throws Exception {
    disconnectWhileQueued(
        client ->
            client.sendBytes(
                concat(
                    query(read("gone-next", LONG_TIMEOUT_MILLIS)),
                    query(""),
                    message('X', new byte[0]))));
  }

  /** The client has pipelined more than is buffered before it closes the connection. */
  @Test
  void connectionClosedAfterMoreThanIsBuffered() throws Exception {
    byte[] much = query(largeWrite("gone-next", 60_000));
    int[] count = new int[1];
    disconnectWhileQueued(
        client -> {
          for (int i = 0; i < (count[0] < 3 ? 12 : 1); i++) {
            client.sendBytes(much);
          }
          count[0]++;
          client.close();
        });
  }

  private void sendCancelRequest(byte[] key) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", router.port())) {
      socket.setSoTimeout(Await.TIMEOUT_MILLIS);
      socket.getOutputStream().write(concat(new byte[] {0, 0, 0, 16, 4, -46, 22, 46}, key));
      assertEquals(-1, socket.getInputStream().read(), "a cancel request has no response");
    }
  }

  /** A cancel request with the key of the client; its session goes on. */
  @Test
  void cancelRequest() throws Exception {
    disconnectWhileQueued(
        client -> {
          sendCancelRequest(client.cancelKey);
          assertEquals("E(57014) Z", client.readResponse());
          assertEquals(EMPTY, client.query(""));
        });
  }

  /** With a wrong key, that of an idle session or of one that is over, nothing happens. */
  @Test
  void cancelRequestWithWrongKey() throws Exception {
    TestClient over = connectClient();
    over.close();
    TestClient staying = drainAllBackends();
    TestClient waiting = connectClient();
    waiting.send(read("waits", LONG_TIMEOUT_MILLIS));
    awaitAcceptedRequests(2);
    byte[] wrong = Arrays.copyOf(waiting.cancelKey, 8);
    wrong[7] ^= 1;
    for (byte[] key : List.of(wrong, new byte[8], staying.cancelKey, over.cancelKey)) {
      sendCancelRequest(key);
    }
    router.publishBackends("Ready");
    assertEquals(SERVED, waiting.readResponse());
    assertEquals(SERVED, staying.query(read("second")));
  }

  /** The connection for its attempt opens after the client has disconnected. */
  @Test
  void disconnectWhileBackendConnectionIsPending() throws Exception {
    for (ClientAction action :
        List.<ClientAction>of(
            TestClient::close,
            client -> sendCancelRequest(client.cancelKey),
            client -> client.sendBytes(message('X', new byte[0])))) {
      CountDownLatch connectionsOpen = new CountDownLatch(1);
      router.replica().startupGate = connectionsOpen;
      router.primary().startupGate = connectionsOpen;
      router.replica().closeConnections();
      router.primary().closeConnections();
      TestClient staying = connectClient(); // by then the router has read that they are closed
      long before = staying.readCounters().get(Counter.REQUESTS_RECEIVED);
      TestClient leaving = connectClient();
      leaving.send(read("gone" + before, LONG_TIMEOUT_MILLIS));
      awaitAcceptedRequests(before + 1);
      action.apply(leaving);
      letDisconnectTakeEffect();
      connectionsOpen.countDown();
      letLateAttemptsArrive();
      assertNothingSentForDisconnected();
      assertEquals(SERVED, staying.query(read("stays" + before)));
    }
  }

  /**
   * Clients send requests and disconnect while the router is suspended, on open connections and on
   * ones that it has not accepted.
   */
  @Test
  void disconnectWhileRouterIsSuspended() throws Exception {
    TestClient staying = connectClient();
    assertEquals(SERVED, staying.query(read("first")));
    List<TestClient> known = new ArrayList<>();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      known.add(connectClient());
    }
    router.sendSignal("STOP");
    for (int i = 0; i < CLIENT_COUNT; i++) {
      known.get(i).send(read("gone-known" + i, LONG_TIMEOUT_MILLIS));
      known.get(i).close();
      try (Socket unaccepted = new Socket("127.0.0.1", router.port())) {
        unaccepted
            .getOutputStream()
            .write(concat(startup(), query(read("gone" + i, LONG_TIMEOUT_MILLIS))));
      }
    }
    letDisconnectTakeEffect();
    router.sendSignal("CONT");
    assertEquals(SERVED, staying.query(read("second")));
    letLateAttemptsArrive();
    assertNothingSentForDisconnected();
  }

  /** A slot becomes free in the turn in which the disconnect of the next client is still unread. */
  @Test
  void disconnectWhileASlotIsReleased() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    router.primary().responder =
        StandInBackend.respondBehind(
            release, statement -> StandInBackend.rowResponse("v", "master"));
    connectClient(); // stays connected
    List<TestClient> waiting = new ArrayList<>();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      waiting.add(connectClient());
      waiting.get(i).send(write("gone" + i, 4000));
    }
    awaitAcceptedRequests(CLIENT_COUNT);
    letDisconnectTakeEffect();
    router.sendSignal("STOP");
    release.countDown();
    for (TestClient client : waiting) {
      client.close();
    }
    letDisconnectTakeEffect();
    List<String> started = router.receivedWithId("gone");
    assertTrue(
        !started.isEmpty() && started.size() < CLIENT_COUNT,
        started.size() + " attempts began at once");
    router.sendSignal("CONT");
    letLateAttemptsArrive();
    assertEquals(
        started,
        router.receivedWithId("gone"),
        "no free slot went to a client that had disconnected");
  }
}
