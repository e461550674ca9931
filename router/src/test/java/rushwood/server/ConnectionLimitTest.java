package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.protocol.TestMessages.concat;
import static rushwood.protocol.TestMessages.message;
import static rushwood.protocol.TestMessages.messageTypes;
import static rushwood.protocol.TestMessages.query;
import static rushwood.protocol.TestMessages.startup;
import static rushwood.server.RouterProcessFixture.awaitCounters;
import static rushwood.server.Statements.EMPTY;
import static rushwood.server.Statements.FAILED;
import static rushwood.server.Statements.REJECTED;
import static rushwood.server.Statements.SERVED;
import static rushwood.server.Statements.STARTED;
import static rushwood.server.Statements.assertServedOrRejected;
import static rushwood.server.Statements.largeWrite;
import static rushwood.server.Statements.read;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import rushwood.dispatch.Counter;

/** Clients that exhaust the connection limit or the buffer memory. */
class ConnectionLimitTest {
  @RegisterExtension final RouterProcessFixture router = RouterProcessFixture.started();

  /** Hundreds of silent connections are all closed, and a client that connects later is served. */
  @Test
  void silentConnectionsExhaustSockets() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < 200; i++) {
        sockets.add(new Socket("127.0.0.1", router.port()));
      }
      for (Socket socket : sockets) {
        socket.setSoTimeout(Await.TIMEOUT_MILLIS);
        // refused, closed to make room for another client, or closed for being silent too long
        int first = socket.getInputStream().read();
        assertTrue(first == 'E' || first < 0);
      }
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
    try (TestClient client = connectOnceAccepted()) {
      assertEquals(SERVED, client.query(read("r1")));
    }
  }

  /** Reconnects until the router has closed enough of the other connections. */
  private TestClient connectOnceAccepted() throws Exception {
    AtomicReference<TestClient> accepted = new AtomicReference<>();
    Await.until(
        () -> {
          try {
            accepted.set(router.connect());
            return true;
          } catch (AssertionError | IOException notYet) {
            return false;
          }
        },
        () -> "no connection was accepted");
    return accepted.get();
  }

  /** Idle connections are closed to make room for new ones, the longest idle one first. */
  @Test
  void idleClientsAreClosedForNewOnes() throws Exception {
    List<TestClient> idle = new ArrayList<>();
    try (TestClient client = router.connect()) {
      for (int i = 0; i < 175; i++) {
        idle.add(router.connect());
        assertEquals(EMPTY, idle.get(i).query(""));
      }
      Thread.sleep(150); // makes the other connections idle for longer than this one
      assertEquals(EMPTY, client.query(""));
      TestClient newClient = router.connect();
      idle.add(newClient);
      assertEquals(SERVED, newClient.query(read("r1")));
      assertEquals(
          SERVED, client.query(read("r2")), "it was idle for a shorter time than the others");
      assertTrue(idle.get(0).isClosedByRouter());
    } finally {
      for (TestClient open : idle) {
        open.close();
      }
    }
  }

  /** Many clients that have each sent part of a large message do not exhaust the memory. */
  @Test
  void partialMessagesDoNotExhaustMemory() throws Exception {
    byte[] half = new byte[250_000];
    half[0] = 'Q';
    half[2] = 3; // message length 262,143, of which this is a part
    half[3] = -1;
    half[4] = -1;
    List<TestClient> clients = new ArrayList<>();
    try (TestClient client = router.connect()) {
      for (int i = 0; i < 100; i++) {
        clients.add(router.connect());
        TestClient sender = clients.get(i);
        StandInServer.startThread(() -> sender.sendBytes(half));
      }
      // All together would hold 25 MB; the messages that fit into the memory are held.
      awaitCounters(client, counters -> counters.value("statement_memory_bytes") > 15 << 20);
      for (int i = 0; i < 20; i++) {
        assertEquals(SERVED, client.query(read("r" + i)));
      }
      for (TestClient sender : clients) {
        assertEquals("E(08P01)", messageTypes(sender.readToEnd()));
      }
      assertEquals(0, client.readCounters().get(Counter.EXCEPTIONS_CAUGHT));
    } finally {
      for (TestClient open : clients) {
        open.close();
      }
    }
  }

  /**
   * Hundreds of clients connect and send a request at the same time: each is served or can read an
   * error. All have a request in flight when the limit is reached, so that none may be closed to
   * make room for another.
   */
  @Test
  void connectionsBeyondTheLimit() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    router.primary().responder =
        StandInBackend.respondAfterGate(release, router.primary().responder);
    router.replica().responder =
        StandInBackend.respondAfterGate(release, router.replica().responder);
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < 230; i++) {
        Socket socket = new Socket("127.0.0.1", router.port());
        sockets.add(socket);
        socket.setSoTimeout(Await.TIMEOUT_MILLIS);
        socket.getOutputStream().write(concat(startup(), query(read("r" + i, 8000))));
      }
      int lastIndex = sockets.size() - 1;
      assertEquals("E(53300)", readStartupAndResponse(sockets.get(lastIndex)));
      release.countDown();
      for (Socket socket : sockets.subList(0, lastIndex)) {
        String types = readStartupAndResponse(socket);
        assertTrue(
            types.isEmpty()
                || types.equals(STARTED + " " + SERVED)
                || types.equals(STARTED + " " + REJECTED)
                || types.endsWith("E(53300)"),
            types);
      }
    } finally {
      release.countDown();
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  /** Reads up to the second ReadyForQuery or the end of the stream; returns the message types. */
  private static String readStartupAndResponse(Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    int responses = 0;
    for (int type = in.read(); type >= 0; type = responses < 2 ? in.read() : -1) {
      all.writeBytes(message((char) type, in.readNBytes(in.readInt() - 4)));
      responses += type == 'Z' ? 1 : 0;
    }
    return messageTypes(all.toByteArray());
  }

  /**
   * Guards against pipelined statements that are read and never answered: a client sends more than
   * the router may hold for it, and each statement is answered in its turn.
   */
  @Test
  void pipeliningBeyondTheLimit() throws Exception {
    router.replica().responder =
        StandInBackend.respondAfterDelay(
            statement -> 400, StandInBackend.rowResponse("v", "replica"));
    try (TestClient client = router.connect()) {
      client.send(read("r1"));
      Thread sender =
          StandInServer.startThread(
              () -> {
                for (int i = 0; i < 100; i++) { // 13 MB, of which 5.3 MB may be held
                  client.sendBytes(query(largeWrite("ahead" + i, 64 << 10)));
                }
                client.send(read("r2"));
              });
      assertEquals(SERVED, client.readResponse());
      Map<String, Integer> answers = new HashMap<>();
      for (int i = 0; i < 100; i++) {
        answers.merge(client.readResponse(), 1, Integer::sum);
      }
      Await.termination(sender);
      assertEquals(Set.of(SERVED, REJECTED), answers.keySet(), answers::toString);
      assertTrue(answers.get(SERVED) >= 24, answers::toString);
      assertEquals(SERVED, client.readResponse());
      assertEquals(EMPTY, client.query(""), "the connection stays usable");
    }
  }

  /**
   * Sixty clients pipeline a megabyte each before the router reads any of it: the memory suffices,
   * another client still gets responses, and each statement is answered, some with a rejection.
   */
  @Test
  void pipeliningByManyClients() throws Exception {
    List<TestClient> clients = new ArrayList<>();
    try (TestClient staying = router.connect()) {
      for (int i = 0; i < 60; i++) {
        clients.add(router.connect());
      }
      router.sendSignal("STOP");
      List<Thread> senders = new ArrayList<>();
      for (TestClient sender : clients) {
        byte[] writes = eightLargeWrites("ahead" + senders.size() + "-");
        senders.add(StandInServer.startThread(() -> sender.sendBytes(writes)));
      }
      Thread.sleep(500); // fills the socket buffers of the kernel, which cannot be observed
      router.sendSignal("CONT");
      for (int i = 0; i < 20; i++) {
        String answer = staying.query(read("r" + i));
        assertServedOrRejected(answer);
      }
      for (Thread sender : senders) {
        Await.termination(sender);
      }
      for (TestClient sender : clients) {
        for (int i = 0; i < 8; i++) {
          String answer = sender.readResponse();
          assertTrue(List.of(SERVED, REJECTED, FAILED).contains(answer), answer);
        }
      }
      CounterSnapshot counters =
          awaitCounters(staying, latest -> latest.get(Counter.STATEMENTS_REJECTED) > 0);
      assertEquals(0, counters.get(Counter.EXCEPTIONS_CAUGHT), counters::toString);
      assertEquals(SERVED, staying.query(read("last")));
    } finally {
      for (TestClient open : clients) {
        open.close();
      }
    }
    assertEquals(
        List.of(),
        router
            .output()
            .lines()
            .filter(line -> line.contains("OutOf") || isUnexpectedWarning(line))
            .toList());
  }

  private static byte[] eightLargeWrites(String idPrefix) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (int i = 0; i < 8; i++) {
      all.writeBytes(query(largeWrite(idPrefix + i, 60_000)));
    }
    return all.toByteArray();
  }

  /** Returns whether a line is a warning that the suspension of the process does not explain. */
  private static boolean isUnexpectedWarning(String line) {
    return line.contains("WARN")
        && !line.contains("WARN discovery does not respond")
        && !line.contains("WARN ejected host a: unreachable")
        && !line.contains("WARN overload state of ");
  }
}
