package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushwood.protocol.TestMessages;

/** Connections that end, from either side, in the moment in which something is on its way. */
class ConnectionCloseTest extends RouterProcessFixture {
  private static final int SERVED_RESPONSE_LENGTH =
      TestMessages.concat(
              TestMessages.startupResponse(),
              new byte[] {'I', 0, 0, 0, 4},
              TestMessages.readyForQuery())
          .length;
  private static final byte[] TERMINATE = TestMessages.message('X', new byte[0]);

  /** All that comes up to the end; a reset in place of the end fails. */
  private static byte[] readToEnd(Socket socket) throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    InputStream in = socket.getInputStream();
    byte[] some = new byte[8192];
    for (int read = in.read(some); read >= 0; read = in.read(some)) {
      all.write(some, 0, read);
    }
    return all.toByteArray();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", port);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  /**
   * All of it is here before any of it is read: what the router ends on the way it ends over unread
   * bytes.
   */
  private void writeWhileSuspended(TestClient client, byte[] bytes) throws Exception {
    sendSignal("STOP");
    client.socket.getOutputStream().write(bytes);
    sendSignal("CONT");
  }

  /**
   * What a client wrote behind its end is read away, not reset: the answers before it arrive, and
   * nothing is sent on.
   */
  @Test
  void dataAfterTerminateMessage() throws Exception {
    byte[] more =
        TestMessages.query(
            TestMessages.writeStatement("behind", ",d=900").replace("9f03", "9f".repeat(60_000)));
    for (int i = 0; i < 5; i++) {
      try (TestClient client = new TestClient(port)) {
        assertEquals("T D C Z", client.query(withId(READ_STATEMENT, "r" + i)));
        writeWhileSuspended(
            client, TestMessages.concat(TestMessages.query(""), TERMINATE, more, more, more));
        assertEquals("I Z", TestMessages.messageTypes(readToEnd(client.socket)));
      }
    }
    assertEquals(0, countReceived("behind"));
  }

  /** The same behind a fault of its own, which it can read. */
  @Test
  void dataAfterProtocolError() throws Exception {
    byte[] more =
        TestMessages.query(
            TestMessages.writeStatement("behind", ",d=900").replace("9f03", "9f".repeat(60_000)));
    for (int i = 0; i < 5; i++) {
      try (TestClient client = new TestClient(port)) {
        writeWhileSuspended(
            client,
            TestMessages.concat(
                TestMessages.query(""), new byte[] {'?', 0, 0, 0, 4}, more, more, more));
        assertEquals("I Z E(08P01)", TestMessages.messageTypes(readToEnd(client.socket)));
      }
    }
    assertEquals(0, countReceived("behind"));
  }

  private long countReceived(String id) {
    List<String> all = new ArrayList<>(primary.receivedStatements);
    all.addAll(replica.receivedStatements);
    return all.stream().filter(each -> each.contains("id=" + id)).count();
  }

  /**
   * Hundreds that come at once and write before they are let in: each is served, or can read why it
   * is not.
   */
  @Test
  void connectionsBeyondTheLimit() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < 230; i++) {
        sockets.add(connect());
        sockets
            .get(i)
            .getOutputStream()
            .write(TestMessages.concat(TestMessages.startup(), TestMessages.query("")));
      }
      int refused = 0;
      for (Socket each : sockets) {
        String types =
            TestMessages.messageTypes(each.getInputStream().readNBytes(SERVED_RESPONSE_LENGTH));
        refused += types.endsWith("E(53300)") ? 1 : 0;
        assertTrue(
            types.isEmpty() || types.equals("R S S S S S K Z I Z") || types.endsWith("E(53300)"),
            types);
      }
      assertTrue(refused > 0, "some found no room, and could read it");
    } finally {
      for (Socket each : sockets) {
        each.close();
      }
    }
  }

  /**
   * One that writes more ahead than is kept gets the answer that is due, and then reads why it
   * ends.
   */
  @Test
  void pipeliningBeyondTheLimit() throws Exception {
    replica.responder =
        statement -> {
          pause(400);
          return TestMessages.concat(
              TestMessages.rowResponse("v"),
              TestMessages.parameterStatus("part", "replica"),
              TestMessages.readyForQuery());
        };
    byte[] much =
        TestMessages.query(
            TestMessages.writeStatement("ahead", ",d=900").replace("9f03", "9f".repeat(64 << 10)));
    try (TestClient client = new TestClient(port)) {
      client.send(withId(READ_STATEMENT, "r1"));
      OutputStream out = client.socket.getOutputStream();
      for (int i = 0; i < 24; i++) {
        out.write(much); // three times what is kept
      }
      String types = TestMessages.messageTypes(readToEnd(client.socket));
      assertTrue(types.startsWith("T D C Z ") && types.endsWith(" E(53300)"), types);
    }
  }

  /**
   * Sixty write a megabyte each before any of it is read: memory holds, each can read what became
   * of it.
   */
  @Test
  void pipeliningByManyClients() throws Exception {
    byte[] much =
        TestMessages.query(
            TestMessages.writeStatement("ahead", ",d=900").replace("9f03", "9f".repeat(60_000)));
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (int i = 0; i < 8; i++) {
      all.writeBytes(much);
    }
    List<TestClient> clients = new ArrayList<>();
    try (TestClient staying = new TestClient(port)) {
      for (int i = 0; i < 60; i++) {
        clients.add(new TestClient(port));
      }
      sendSignal("STOP");
      for (TestClient each : clients) {
        StandInServer.startThread(() -> each.socket.getOutputStream().write(all.toByteArray()));
      }
      Thread.sleep(500);
      sendSignal("CONT");
      for (int i = 0; i < 20; i++) {
        String answer = staying.query(withId(READ_STATEMENT, "r" + i));
        assertTrue(answer.equals("T D C Z") || answer.equals("E(53300) Z"), answer);
      }
      Thread.sleep(300);
      String counters = readCounters(staying);
      assertTrue(
          counters.contains("exceptions_caught=0 ") && !counters.contains("clients_refused=0 "),
          counters);
      assertEquals("T D C Z", staying.query(withId(READ_STATEMENT, "last")));
    } finally {
      for (TestClient each : clients) {
        each.close();
      }
    }
    assertEquals(
        List.of(),
        processOutput.stream()
            .filter(each -> each.contains("OutOf") || each.contains("WARN"))
            .toList());
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * The connection of the next attempt was ended by its host, told or by a reset, or has half a
   * line on it.
   */
  @Test
  void idleBackendConnectionEnds() throws Exception {
    byte[] row =
        TestMessages.concat(
            TestMessages.rowResponse("v"),
            TestMessages.parameterStatus("part", "master"),
            TestMessages.readyForQuery());
    byte[] half = TestMessages.concat(row, new byte[] {'N', 0, 0});
    try (TestClient client = new TestClient(port)) {
      for (int i = 0; i < 60; i++) {
        boolean halfLine = i % 2 == 0;
        primary.keepsConnectionOpen = halfLine;
        primary.responder = statement -> halfLine ? half : row;
        assertEquals(
            "T D C Z", client.query(TestMessages.writeStatement("w" + i, ",d=900")), "write " + i);
        if (!halfLine) {
          primary.closeConnections();
        }
        pause(i % 5);
      }
      String counters = readCounters(client);
      assertTrue(counters.contains("requests_failed=0 "), counters);
    }
  }

  /**
   * A write that a host reset once it had all of it may have run: it is given up, and never sent
   * again.
   */
  @Test
  void backendResetDuringWrite() throws Exception {
    byte[] none =
        TestMessages.concat(
            TestMessages.errorResponse("25006"),
            TestMessages.parameterStatus("part", "replica"),
            TestMessages.readyForQuery());
    byte[] row =
        TestMessages.concat(
            TestMessages.rowResponse("v"),
            TestMessages.parameterStatus("part", "replica"),
            TestMessages.readyForQuery());
    replica.responder = statement -> statement.startsWith("INSERT") ? none : row;
    byte[] report =
        TestMessages.concat(TestMessages.rowResponse("x0=1,x1=1"), TestMessages.readyForQuery());
    primary.responder =
        statement -> statement.startsWith("SHOW") ? report : new byte[0]; // and the connection ends
    int started = 0;
    try (TestClient client = new TestClient(port)) {
      for (int i = 0; i < 10; i++) {
        String answer = client.query(TestMessages.writeStatement("w" + i, ",d=900"));
        long executions =
            primary.receivedStatements.stream().filter(each -> each.contains("id=w")).count()
                - started;
        started += executions;
        assertTrue(
            executions == 1 && answer.equals("E(58000) Z")
                || executions == 0 && answer.equals("E(53300) Z"),
            "sent " + executions + " times and answered " + answer);
        for (int more = 0; more < 20; more++) { // probes are a share of what it is asked
          client.query(withId(READ_STATEMENT, "r" + i + "-" + more));
        }
        Thread.sleep(600); // and then the host is tried again
      }
    }
    assertTrue(started > 1, "it was tried again: " + started);
  }

  /**
   * Half a row, a row without its end, one that never ends, an end long after: no value, and the
   * slots come back.
   */
  @Test
  void truncatedBackendResponses() throws Exception {
    byte[] row = TestMessages.rowResponse("value");
    byte[] whole =
        TestMessages.concat(
            row, TestMessages.parameterStatus("part", "replica"), TestMessages.readyForQuery());
    byte[] noEnd = Arrays.copyOf(row, row.length - 14); // its completion is missing
    byte[] half = Arrays.copyOf(row, row.length - 16); // and the end of its value
    String read = TestMessages.readStatement("ID", ",d=400");
    int count = 0;
    for (byte[] truncated : List.of(half, noEnd)) {
      for (boolean keepsOpen : new boolean[] {false, true}) {
        for (StandInBackend each : List.of(primary, replica)) {
          each.keepsConnectionOpen = keepsOpen;
          each.responder = statement -> truncated;
        }
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
          clients.add(new TestClient(port));
          clients.get(i).send(withId(read, "cut" + count++));
        }
        for (TestClient each : clients) {
          assertTrue(each.readResponse().startsWith("E("), "no value");
          each.close();
        }
      }
    }
    primary.keepsConnectionOpen = false;
    replica.keepsConnectionOpen = false;
    primary.responder = statement -> whole;
    replica.responder = statement -> whole;
    Thread.sleep(600);
    for (int i = 0; i < 30; i++) {
      try (TestClient client = new TestClient(port)) {
        assertEquals("T D C Z", client.query(withId(READ_STATEMENT, "whole" + i)));
      }
    }
  }

  @Test
  void connectionClosedDuringStartup() throws Exception {
    for (byte[] start : List.of(new byte[0], new byte[] {0, 0}, TestMessages.startup())) {
      try (Socket socket = connect()) {
        socket.getOutputStream().write(start);
        socket.shutdownOutput();
        new DataInputStream(socket.getInputStream()).readAllBytes();
      }
    }
    try (TestClient client = new TestClient(port)) {
      assertEquals("T D C Z", client.query(withId(READ_STATEMENT, "r")));
    }
  }
}
