package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rushwood.protocol.TestMessages.concat;
import static rushwood.protocol.TestMessages.message;
import static rushwood.protocol.TestMessages.messageTypes;
import static rushwood.protocol.TestMessages.query;
import static rushwood.protocol.TestMessages.startup;
import static rushwood.server.Statements.EMPTY;
import static rushwood.server.Statements.SERVED;
import static rushwood.server.Statements.largeWrite;
import static rushwood.server.Statements.read;

import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Client connections that end while data is in transit. */
class ConnectionCloseTest {
  private static final byte[] TERMINATE = message('X', new byte[0]);

  @RegisterExtension final RouterProcessFixture router = RouterProcessFixture.started();

  /**
   * Data that a client sends after its Terminate message is read and discarded. Otherwise the
   * kernel would reset the connection, and earlier responses could be lost. None of the data
   * reaches a backend.
   */
  @Test
  void dataAfterTerminateMessage() throws Exception {
    byte[] largeStatement = query(largeWrite("behind", 60_000));
    for (int i = 0; i < 5; i++) {
      try (TestClient client = router.connect()) {
        assertEquals(SERVED, client.query(read("r" + i)));
        writeWhileSuspended(
            client, concat(query(""), TERMINATE, largeStatement, largeStatement, largeStatement));
        assertEquals(EMPTY, messageTypes(client.readToEnd()));
      }
    }
    assertEquals(List.of(), router.receivedWithIdPrefix("behind"));
  }

  /** Data after a protocol error is discarded too, so that the client can read the error. */
  @Test
  void dataAfterProtocolError() throws Exception {
    byte[] largeStatement = query(largeWrite("behind", 60_000));
    for (int i = 0; i < 5; i++) {
      try (TestClient client = router.connect()) {
        writeWhileSuspended(
            client,
            concat(
                query(""),
                new byte[] {'?', 0, 0, 0, 4},
                largeStatement,
                largeStatement,
                largeStatement));
        assertEquals("I Z E(08P01)", messageTypes(client.readToEnd()));
      }
    }
    assertEquals(List.of(), router.receivedWithIdPrefix("behind"));
  }

  @Test
  void connectionClosedDuringStartup() throws Exception {
    for (byte[] start : List.of(new byte[0], new byte[] {0, 0}, startup())) {
      try (Socket socket = new Socket("127.0.0.1", router.port())) {
        socket.setSoTimeout(Await.TIMEOUT_MILLIS);
        socket.getOutputStream().write(start);
        socket.shutdownOutput();
        socket.getInputStream().readAllBytes();
      }
    }
    try (TestClient client = router.connect()) {
      assertEquals(SERVED, client.query(read("r")));
    }
  }

  /** Each invalid request gets an error; after too many of them the connection is closed. */
  @Test
  void repeatedInvalidRequestsEndTheConnection() throws Exception {
    try (TestClient client = router.connect()) {
      for (int i = 0; i < 13; i++) {
        assertEquals("E(42601) Z", client.query("SELECT 1"));
      }
      assertEquals('E', client.socket.getInputStream().read());
    }
    try (TestClient client = router.connect()) {
      assertEquals(SERVED, client.query(read("r1")));
      assertEquals("E(22023) Z", client.query(read("r1")), "the id is in use");
    }
  }

  /**
   * Writes while the router is suspended, so that all bytes have arrived before the router reads
   * any, and unread bytes are left when it closes the connection.
   */
  private void writeWhileSuspended(TestClient client, byte[] bytes) throws Exception {
    router.sendSignal("STOP");
    client.sendBytes(bytes);
    router.sendSignal("CONT");
  }
}
