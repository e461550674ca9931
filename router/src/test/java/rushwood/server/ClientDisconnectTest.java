package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import rushwood.protocol.TestMessages;

/**
 * Nothing begins for a client that has gone. Where its access waits no host is in service, or its
 * connection does not come up; then the client goes, then the host takes whatever it is sent. Hosts
 * cannot be told to stop, so that only what is not begun can be kept back.
 */
class ClientDisconnectTest extends RouterProcessFixture {
  private static final String LONG_READ =
      TestMessages.readStatement("ID", ",d=8000"); // half of it is its time in the line
  private static final int DISCONNECT_MILLIS =
      150; // ms, over the 100 within which an attempt may still begin
  private static final int CLIENT_COUNT = 50;

  private final List<TestClient> clients = new ArrayList<>();

  private interface ClientAction {
    void apply(TestClient client) throws Exception;
  }

  @Override
  String settingsJson() {
    return super.settingsJson().replace("\"may_cancel\":true", "\"may_cancel\":false");
  }

  @AfterEach
  void closeClients() throws IOException {
    for (TestClient each : clients) {
      each.close();
    }
  }

  private TestClient connectClient() throws IOException {
    TestClient client = new TestClient(port);
    clients.add(client);
    return client;
  }

  /** No host is in service any more: what comes waits in the line. */
  private TestClient drainAllBackends() throws Exception {
    TestClient staying = connectClient();
    assertEquals("T D C Z", staying.query(withId(READ_STATEMENT, "first")));
    publishEndpoints(
        endpointJson("a", primary, "Terminating"), endpointJson("b", replica, "Terminating"));
    while (!readCounters(staying).contains("endpoint_lists_updated=1")) {
      Thread.sleep(5);
    }
    replica.receivedStatements.clear();
    primary.receivedStatements.clear();
    return staying;
  }

  private void awaitAcceptedRequests(int requests) throws Exception {
    String counters = "";
    while (!counters.contains("requests_received=" + requests + " ")) {
      try (TestClient observer = new TestClient(port)) {
        counters = readCounters(observer);
      }
    }
  }

  /**
   * Fifty that wait in the line leave in that way; one that stays is served, and no host hears of
   * the others.
   */
  private void disconnectWhileQueued(ClientAction action) throws Exception {
    TestClient staying = drainAllBackends();
    List<TestClient> leaving = new ArrayList<>();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      leaving.add(connectClient());
      leaving.get(i).send(withId(LONG_READ, "gone" + i));
    }
    awaitAcceptedRequests(CLIENT_COUNT + 1);
    for (TestClient each : leaving) {
      action.apply(each);
    }
    Thread.sleep(DISCONNECT_MILLIS);
    TestClient late = connectClient();
    late.send(withId(LONG_READ, "stays"));
    awaitAcceptedRequests(CLIENT_COUNT + 2);
    publishEndpoints(endpointJson("a", primary, "Ready"), endpointJson("b", replica, "Ready"));
    assertEquals("T D C Z", late.readResponse());
    assertNothingSentForDisconnected();
  }

  private void assertNothingSentForDisconnected() {
    List<String> received = new ArrayList<>(replica.receivedStatements);
    received.addAll(primary.receivedStatements);
    assertEquals(List.of(), received.stream().filter(each -> each.contains("id=gone")).toList());
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

  /** It says so and leaves its socket open. */
  @Test
  void terminateMessage() throws Exception {
    disconnectWhileQueued(
        client -> client.socket.getOutputStream().write(TestMessages.message('X', new byte[0])));
  }

  /** Behind statements that it had written ahead. */
  @Test
  void terminateMessageAfterPipelinedStatements() throws Exception {
    disconnectWhileQueued(
        client ->
            client
                .socket
                .getOutputStream()
                .write(
                    TestMessages.concat(
                        TestMessages.query(withId(LONG_READ, "gone-next")),
                        TestMessages.query(""),
                        TestMessages.message('X', new byte[0]))));
  }

  /** It wrote more ahead than is kept, and its end stands behind that. */
  @Test
  void connectionClosedAfterMoreThanIsBuffered() throws Exception {
    byte[] much =
        TestMessages.query(
            TestMessages.writeStatement("gone-next", ",d=900")
                .replace("9f03", "9f".repeat(60_000)));
    int[] count = new int[1];
    disconnectWhileQueued(
        client -> {
          for (int i = 0; i < (count[0] < 3 ? 12 : 1); i++) {
            client.socket.getOutputStream().write(much);
          }
          count[0]++;
          client.close();
        });
  }

  private void sendCancelRequest(byte[] key) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket
          .getOutputStream()
          .write(TestMessages.concat(new byte[] {0, 0, 0, 16, 4, -46, 22, 46}, key));
      assertEquals(-1, socket.getInputStream().read(), "it is not answered");
    }
  }

  /** By the key that it was given; then the session goes on. */
  @Test
  void cancelRequest() throws Exception {
    disconnectWhileQueued(
        client -> {
          sendCancelRequest(client.cancelKey);
          assertEquals("E(57014) Z", client.readResponse());
          assertEquals("I Z", client.query(""));
        });
  }

  /** A wrong key, one of a session that rests, one of a session that is over: nothing happens. */
  @Test
  void cancelRequestWithWrongKey() throws Exception {
    TestClient over = connectClient();
    over.close();
    TestClient staying = drainAllBackends();
    TestClient waiting = connectClient();
    waiting.send(withId(LONG_READ, "waits"));
    awaitAcceptedRequests(2);
    byte[] wrong = Arrays.copyOf(waiting.cancelKey, 8);
    wrong[7] ^= 1;
    for (byte[] key : List.of(wrong, new byte[8], staying.cancelKey, over.cancelKey)) {
      sendCancelRequest(key);
    }
    publishEndpoints(endpointJson("a", primary, "Ready"), endpointJson("b", replica, "Ready"));
    assertEquals("T D C Z", waiting.readResponse());
    assertEquals("T D C Z", staying.query(withId(READ_STATEMENT, "second")));
  }

  /** The connection that its attempt was to go on comes up after it left. */
  @Test
  void disconnectWhileBackendConnectionIsPending() throws Exception {
    for (ClientAction action :
        List.<ClientAction>of(
            TestClient::close,
            client -> sendCancelRequest(client.cancelKey),
            client ->
                client.socket.getOutputStream().write(TestMessages.message('X', new byte[0])))) {
      CountDownLatch connectionsOpen = new CountDownLatch(1);
      replica.startupGate = connectionsOpen;
      primary.startupGate = connectionsOpen;
      replica.closeConnections();
      primary.closeConnections();
      Thread.sleep(50);
      TestClient staying = connectClient();
      int before = acceptedRequests(staying);
      TestClient leaving = connectClient();
      leaving.send(withId(LONG_READ, "gone" + before));
      awaitAcceptedRequests(before + 1);
      action.apply(leaving);
      Thread.sleep(DISCONNECT_MILLIS);
      connectionsOpen.countDown();
      Thread.sleep(100);
      assertNothingSentForDisconnected();
      assertEquals("T D C Z", staying.query(withId(READ_STATEMENT, "stays" + before)));
    }
  }

  private static int acceptedRequests(TestClient client) throws IOException {
    return Integer.parseInt(readCounters(client).replaceAll(".*requests_received=(\\d+) .*", "$1"));
  }

  /**
   * The process stands still; clients ask and leave, on connections that are open and on new ones,
   * also unaccepted.
   */
  @Test
  void disconnectWhileRouterIsSuspended() throws Exception {
    TestClient staying = connectClient();
    assertEquals("T D C Z", staying.query(withId(READ_STATEMENT, "first")));
    List<TestClient> known = new ArrayList<>();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      known.add(connectClient());
    }
    sendSignal("STOP");
    for (int i = 0; i < CLIENT_COUNT; i++) {
      known.get(i).send(withId(LONG_READ, "gone-known" + i));
      known.get(i).close();
      try (Socket unaccepted = new Socket("127.0.0.1", port)) {
        unaccepted
            .getOutputStream()
            .write(
                TestMessages.concat(
                    TestMessages.startup(), TestMessages.query(withId(LONG_READ, "gone" + i))));
      }
    }
    Thread.sleep(DISCONNECT_MILLIS);
    sendSignal("CONT");
    assertEquals("T D C Z", staying.query(withId(READ_STATEMENT, "second")));
    Thread.sleep(100);
    assertNothingSentForDisconnected();
  }

  /** A slot is handed over in the turn in which its receiver's end waits unread. */
  @Test
  void disconnectWhileASlotIsReleased() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    primary.responder =
        statement -> {
          try {
            release.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          return TestMessages.concat(
              TestMessages.rowResponse("v"),
              TestMessages.parameterStatus("part", "master"),
              TestMessages.readyForQuery());
        };
    TestClient staying = connectClient();
    List<TestClient> waiting = new ArrayList<>();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      waiting.add(connectClient());
      waiting.get(i).send(TestMessages.writeStatement("gone" + i, ",d=4000"));
    }
    awaitAcceptedRequests(CLIENT_COUNT);
    Thread.sleep(DISCONNECT_MILLIS);
    int started = primary.receivedStatements.size();
    assertTrue(started > 0 && started < CLIENT_COUNT, started + " of them were begun at once");
    sendSignal("STOP");
    release.countDown();
    for (TestClient each : waiting) {
      each.close();
    }
    Thread.sleep(DISCONNECT_MILLIS);
    sendSignal("CONT");
    Thread.sleep(300);
    assertEquals(
        started,
        primary.receivedStatements.size(),
        "no slot that was freed went to one that had left");
  }
}
