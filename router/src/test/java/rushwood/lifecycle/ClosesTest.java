package rushwood.lifecycle;

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
import rushwood.wire.Bytes;

/** Connections that end, from either side, in the moment in which something is on its way. */
class ClosesTest extends RunningRouter {
  private static final int SERVED =
      Bytes.join(Bytes.welcome(), new byte[] {'I', 0, 0, 0, 4}, Bytes.ready()).length;
  private static final byte[] TERMINATE = Bytes.message('X', new byte[0]);

  /** All that comes up to the end; a reset in place of the end fails. */
  private static byte[] toTheEnd(Socket socket) throws IOException {
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
    socket.setSoTimeout(PATIENCE);
    return socket;
  }

  /**
   * All of it is here before any of it is read: what the router ends on the way it ends over unread
   * bytes.
   */
  private void writeUnread(Client client, byte[] bytes) throws Exception {
    signal("STOP");
    client.socket.getOutputStream().write(bytes);
    signal("CONT");
  }

  /**
   * What a client wrote behind its end is read away, not reset: the answers before it arrive, and
   * nothing is sent on.
   */
  @Test
  void moreBehindTheEnd() throws Exception {
    byte[] more = Bytes.query(Bytes.write("behind", ",d=900").replace("9f03", "9f".repeat(60_000)));
    for (int i = 0; i < 5; i++) {
      try (Client client = new Client(port)) {
        assertEquals("T D C Z", client.answer(id(READ, "r" + i)));
        writeUnread(client, Bytes.join(Bytes.query(""), TERMINATE, more, more, more));
        assertEquals("I Z", Bytes.types(toTheEnd(client.socket)));
      }
    }
    assertEquals(0, seen("behind"));
  }

  /** The same behind a fault of its own, which it can read. */
  @Test
  void moreBehindAFault() throws Exception {
    byte[] more = Bytes.query(Bytes.write("behind", ",d=900").replace("9f03", "9f".repeat(60_000)));
    for (int i = 0; i < 5; i++) {
      try (Client client = new Client(port)) {
        writeUnread(
            client, Bytes.join(Bytes.query(""), new byte[] {'?', 0, 0, 0, 4}, more, more, more));
        assertEquals("I Z E(08P01)", Bytes.types(toTheEnd(client.socket)));
      }
    }
    assertEquals(0, seen("behind"));
  }

  private long seen(String id) {
    List<String> all = new ArrayList<>(primary.seen);
    all.addAll(replica.seen);
    return all.stream().filter(each -> each.contains("id=" + id)).count();
  }

  /**
   * Hundreds that come at once and write before they are let in: each is served, or can read why it
   * is not.
   */
  @Test
  void noRoom() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < 230; i++) {
        sockets.add(connect());
        sockets.get(i).getOutputStream().write(Bytes.join(Bytes.startup(), Bytes.query("")));
      }
      int told = 0;
      for (Socket each : sockets) {
        String types = Bytes.types(each.getInputStream().readNBytes(SERVED));
        told += types.endsWith("E(53300)") ? 1 : 0;
        assertTrue(
            types.isEmpty() || types.equals("R S S S S S K Z I Z") || types.endsWith("E(53300)"),
            types);
      }
      assertTrue(told > 0, "some found no room, and could read it");
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
  void tooMuchAhead() throws Exception {
    replica.answer =
        statement -> {
          pause(400);
          return Bytes.join(Bytes.row("v"), Bytes.parameter("part", "replica"), Bytes.ready());
        };
    byte[] much =
        Bytes.query(Bytes.write("ahead", ",d=900").replace("9f03", "9f".repeat(64 << 10)));
    try (Client client = new Client(port)) {
      client.ask(id(READ, "r1"));
      OutputStream out = client.socket.getOutputStream();
      for (int i = 0; i < 24; i++) {
        out.write(much); // three times what is kept
      }
      String types = Bytes.types(toTheEnd(client.socket));
      assertTrue(types.startsWith("T D C Z ") && types.endsWith(" E(53300)"), types);
    }
  }

  /**
   * Sixty write a megabyte each before any of it is read: memory holds, each can read what became
   * of it.
   */
  @Test
  void muchAheadByMany() throws Exception {
    byte[] much = Bytes.query(Bytes.write("ahead", ",d=900").replace("9f03", "9f".repeat(60_000)));
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (int i = 0; i < 8; i++) {
      all.writeBytes(much);
    }
    List<Client> clients = new ArrayList<>();
    try (Client stays = new Client(port)) {
      for (int i = 0; i < 60; i++) {
        clients.add(new Client(port));
      }
      signal("STOP");
      for (Client each : clients) {
        Standin.thread(() -> each.socket.getOutputStream().write(all.toByteArray()));
      }
      Thread.sleep(500);
      signal("CONT");
      for (int i = 0; i < 20; i++) {
        String answer = stays.answer(id(READ, "r" + i));
        assertTrue(answer.equals("T D C Z") || answer.equals("E(53300) Z"), answer);
      }
      Thread.sleep(300);
      String counters = counters(stays);
      assertTrue(
          counters.contains("exceptions_caught=0 ") && !counters.contains("clients_refused=0 "),
          counters);
      assertEquals("T D C Z", stays.answer(id(READ, "last")));
    } finally {
      for (Client each : clients) {
        each.close();
      }
    }
    assertEquals(
        List.of(),
        log.stream().filter(each -> each.contains("OutOf") || each.contains("WARN")).toList());
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
  void whileAHostsConnectionRests() throws Exception {
    byte[] row = Bytes.join(Bytes.row("v"), Bytes.parameter("part", "master"), Bytes.ready());
    byte[] half = Bytes.join(row, new byte[] {'N', 0, 0});
    try (Client client = new Client(port)) {
      for (int i = 0; i < 60; i++) {
        boolean halfLine = i % 2 == 0;
        primary.stays = halfLine;
        primary.answer = statement -> halfLine ? half : row;
        assertEquals("T D C Z", client.answer(Bytes.write("w" + i, ",d=900")), "write " + i);
        if (!halfLine) {
          primary.cut();
        }
        pause(i % 5);
      }
      String counters = counters(client);
      assertTrue(counters.contains("requests_failed=0 "), counters);
    }
  }

  /**
   * A write that a host reset once it had all of it may have run: it is given up, and never sent
   * again.
   */
  @Test
  void resetUnderAWrite() throws Exception {
    byte[] none =
        Bytes.join(Bytes.error("25006"), Bytes.parameter("part", "replica"), Bytes.ready());
    byte[] row = Bytes.join(Bytes.row("v"), Bytes.parameter("part", "replica"), Bytes.ready());
    replica.answer = statement -> statement.startsWith("INSERT") ? none : row;
    byte[] report = Bytes.join(Bytes.row("x0=1,x1=1"), Bytes.ready());
    primary.answer =
        statement -> statement.startsWith("SHOW") ? report : new byte[0]; // and the connection ends
    int begun = 0;
    try (Client client = new Client(port)) {
      for (int i = 0; i < 10; i++) {
        String answer = client.answer(Bytes.write("w" + i, ",d=900"));
        long ran = primary.seen.stream().filter(each -> each.contains("id=w")).count() - begun;
        begun += ran;
        assertTrue(
            ran == 1 && answer.equals("E(58000) Z") || ran == 0 && answer.equals("E(53300) Z"),
            "sent " + ran + " times and answered " + answer);
        for (int more = 0; more < 20; more++) { // probes are a share of what it is asked
          client.answer(id(READ, "r" + i + "-" + more));
        }
        Thread.sleep(600); // and then the host is tried again
      }
    }
    assertTrue(begun > 1, "it was tried again: " + begun);
  }

  /**
   * Half a row, a row without its end, one that never ends, an end long after: no value, and the
   * slots come back.
   */
  @Test
  void cutAnswers() throws Exception {
    byte[] row = Bytes.row("value");
    byte[] whole = Bytes.join(row, Bytes.parameter("part", "replica"), Bytes.ready());
    byte[] noEnd = Arrays.copyOf(row, row.length - 14); // its completion is missing
    byte[] half = Arrays.copyOf(row, row.length - 16); // and the end of its value
    String read = Bytes.read("ID", ",d=400");
    int count = 0;
    for (byte[] cut : List.of(half, noEnd)) {
      for (boolean stays : new boolean[] {false, true}) {
        for (Host each : List.of(primary, replica)) {
          each.stays = stays;
          each.answer = statement -> cut;
        }
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
          clients.add(new Client(port));
          clients.get(i).ask(id(read, "cut" + count++));
        }
        for (Client each : clients) {
          assertTrue(each.read().startsWith("E("), "no value");
          each.close();
        }
      }
    }
    primary.stays = false;
    replica.stays = false;
    primary.answer = statement -> whole;
    replica.answer = statement -> whole;
    Thread.sleep(600);
    for (int i = 0; i < 30; i++) {
      try (Client client = new Client(port)) {
        assertEquals("T D C Z", client.answer(id(READ, "whole" + i)));
      }
    }
  }

  @Test
  void aHalfStartupThenTheEnd() throws Exception {
    for (byte[] start : List.of(new byte[0], new byte[] {0, 0}, Bytes.startup())) {
      try (Socket socket = connect()) {
        socket.getOutputStream().write(start);
        socket.shutdownOutput();
        new DataInputStream(socket.getInputStream()).readAllBytes();
      }
    }
    try (Client client = new Client(port)) {
      assertEquals("T D C Z", client.answer(id(READ, "r")));
    }
  }
}
