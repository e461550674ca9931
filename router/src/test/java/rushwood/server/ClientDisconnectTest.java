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
 * No attempt starts for a client that has disconnected. Its request waits because no endpoint is
 * ready, because the connection to the backend is not open yet or because no slot is free. The
 * client disconnects before the request can be sent. Cancelling attempts is switched off in the
 * settings, so that only attempts that have not started can be prevented.
 */
class ClientDisconnectTest {
  /** Long enough for the tests, although a request waits in the queue for at most half of it. */
  private static final int LONG_TIMEOUT_MILLIS = 8000;

  /** More than the 100 ms after the disconnect in which an attempt may still start. */
  private static final int DISCONNECT_MILLIS = 150;

  /** Time in which an attempt that should not have started would reach a backend. */
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

  /** Sleeps for the time in which an attempt for a disconnected client may still start. */
  private static void letDisconnectTakeEffect() throws InterruptedException {
    Thread.sleep(DISCONNECT_MILLIS);
  }

  /** Sleeps, because no event shows that no attempt will arrive. */
  private static void letLateAttemptsArrive() throws InterruptedException {
    Thread.sleep(LATE_ATTEMPT_MILLIS);
  }

  private TestClient connectClient() throws IOException {
    TestClient client = router.connect();
    clients.add(client);
    return client;
  }

  /** Makes all endpoints drain, so that new requests queue; returns a connected client. */
  private TestClient drainAllBackends() throws Exception {
    TestClient staying = connectClient();
    assertEquals(SERVED, staying.query(read("first")));
    router.publishBackends("Terminating");
    // One list is applied at the start, the second arrives by the watch or by a poll.
    awaitCounters(staying, counters -> counters.appliedEndpointLists() >= 2);
    router.replica().receivedStatements.clear();
    router.primary().receivedStatements.clear();
    return staying;
  }

  private void awaitReceivedRequests(long requests) throws Exception {
    try (TestClient observer = router.connect()) {
      CounterSnapshot counters =
          awaitCounters(observer, latest -> latest.get(Counter.REQUESTS_RECEIVED) >= requests);
      assertEquals(requests, counters.get(Counter.REQUESTS_RECEIVED));
    }
  }

  /**
   * Disconnects clients whose requests are queued: another queued client is served, and no backend
   * receives a request of the disconnected ones.
   */
  private void disconnectWhileQueued(ClientAction action) throws Exception {
    drainAllBackends();
    List<TestClient> leaving = new ArrayList<>();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      leaving.add(connectClient());
      leaving.get(i).send(read("gone" + i, LONG_TIMEOUT_MILLIS));
    }
    awaitReceivedRequests(CLIENT_COUNT + 1);
    for (TestClient client : leaving) {
      action.apply(client);
    }
    letDisconnectTakeEffect();
    TestClient late = connectClient();
    late.send(read("stays", LONG_TIMEOUT_MILLIS));
    awaitReceivedRequests(CLIENT_COUNT + 2);
    router.publishBackends("Ready");
    assertEquals(SERVED, late.readResponse());
    assertNothingSentForDisconnected();
  }

  private void assertNothingSentForDisconnected() {
    assertEquals(List.of(), router.receivedWithIdPrefix("gone"));
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

  /** The client sends Terminate and leaves its socket open. */
  @Test
  void terminateMessage() throws Exception {
    disconnectWhileQueued(client -> client.sendBytes(message('X', new byte[0])));
  }

  /** Like {@link #terminateMessage}, after pipelined statements. */
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

  /** The client has pipelined more than the router buffers before it closes the connection. */
  @Test
  void connectionClosedAfterMoreThanIsBuffered() throws Exception {
    byte[] largeStatement = query(largeWrite("gone-next", 60_000));
    int[] clientCount = new int[1];
    disconnectWhileQueued(
        client -> {
          for (int i = 0; i < (clientCount[0] < 3 ? 60 : 1); i++) {
            client.sendBytes(largeStatement);
          }
          clientCount[0]++;
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

  /** A cancel request with the client's key ends the request; its session stays usable. */
  @Test
  void cancelRequest() throws Exception {
    disconnectWhileQueued(
        client -> {
          sendCancelRequest(client.cancelKey);
          assertEquals("E(57014) Z", client.readResponse());
          assertEquals(EMPTY, client.query(""));
        });
  }

  /** A cancel request with a wrong key or the key of an idle or closed session has no effect. */
  @Test
  void cancelRequestWithWrongKey() throws Exception {
    TestClient closed = connectClient();
    closed.close();
    TestClient staying = drainAllBackends();
    TestClient waiting = connectClient();
    waiting.send(read("waits", LONG_TIMEOUT_MILLIS));
    awaitReceivedRequests(2);
    byte[] wrongKey = Arrays.copyOf(waiting.cancelKey, 8);
    wrongKey[7] ^= 1;
    for (byte[] key : List.of(wrongKey, new byte[8], staying.cancelKey, closed.cancelKey)) {
      sendCancelRequest(key);
    }
    router.publishBackends("Ready");
    assertEquals(SERVED, waiting.readResponse());
    assertEquals(SERVED, staying.query(read("second")));
  }

  /** The client disconnects while the backend connection for its request is being opened. */
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
      TestClient staying = connectClient(); // gives the router time to see the connections close
      long before = staying.readCounters().get(Counter.REQUESTS_RECEIVED);
      TestClient leaving = connectClient();
      leaving.send(read("gone" + before, LONG_TIMEOUT_MILLIS));
      awaitReceivedRequests(before + 1);
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
   * connections that it has not accepted yet.
   */
  @Test
  void disconnectWhileRouterIsSuspended() throws Exception {
    TestClient staying = connectClient();
    assertEquals(SERVED, staying.query(read("first")));
    List<TestClient> connected = new ArrayList<>();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      connected.add(connectClient());
    }
    router.sendSignal("STOP");
    for (int i = 0; i < CLIENT_COUNT; i++) {
      connected.get(i).send(read("gone-connected" + i, LONG_TIMEOUT_MILLIS));
      connected.get(i).close();
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

  /** A slot is released in a turn in which the disconnect of the next client is still unread. */
  @Test
  void disconnectWhileASlotIsReleased() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    router.primary().responder =
        StandInBackend.respondAfterGate(
            release, statement -> StandInBackend.rowResponse("v", "master"));
    connectClient(); // stays connected
    List<TestClient> waiting = new ArrayList<>();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      waiting.add(connectClient());
      waiting.get(i).send(write("gone" + i, 4000));
    }
    awaitReceivedRequests(CLIENT_COUNT);
    letDisconnectTakeEffect();
    router.sendSignal("STOP");
    release.countDown();
    for (TestClient client : waiting) {
      client.close();
    }
    letDisconnectTakeEffect();
    List<String> started = router.receivedWithIdPrefix("gone");
    assertTrue(
        !started.isEmpty() && started.size() < CLIENT_COUNT,
        started.size() + " attempts started before the disconnect");
    router.sendSignal("CONT");
    letLateAttemptsArrive();
    assertEquals(
        started,
        router.receivedWithIdPrefix("gone"),
        "a free slot went to a client that had disconnected");
  }
}
