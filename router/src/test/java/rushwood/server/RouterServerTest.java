package rushwood.server;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.protocol.TestMessages.concat;
import static rushwood.protocol.TestMessages.startup;
import static rushwood.server.Statements.EMPTY;
import static rushwood.server.Statements.SERVED;
import static rushwood.server.Statements.largeWrite;
import static rushwood.server.Statements.read;
import static rushwood.server.Statements.write;

import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Requests through a router process, with stand-ins for backends and discovery. */
class RouterServerTest {
  @RegisterExtension final RouterProcessFixture router = RouterProcessFixture.started();

  @Test
  void servesReadsAndWrites() throws Exception {
    try (TestClient client = router.connect()) {
      assertEquals(EMPTY, client.query(""));
      assertEquals(SERVED, client.query(read("r1")));
      String received = router.replica().nextStatement();
      assertEquals(read("r1").replaceAll("d=\\d+", ""), received.replaceAll("d=\\d+", ""));
      int timeoutMillis = Integer.parseInt(received.replaceAll(".*d=(\\d+).*", "$1"));
      assertTrue(timeoutMillis > 400 && timeoutMillis < 900, received);
      assertEquals(SERVED, client.query(write("w1")));
      assertTrue(router.primary().nextStatement().startsWith("INSERT"));
      String largeStatement = largeWrite("w2", 64 << 10);
      assertEquals(SERVED, client.query(largeStatement));
      assertEquals(largeStatement.length(), router.primary().nextStatement().length(), 3);
      assertEquals("E(22023) Z", client.query(read("r2").replace("cluster=2", "cluster=9")));
      assertTrue(client.query("SHOW counters").startsWith("T D D"));
    }
  }

  @Test
  void malformedInputDoesNotStopTheRouter() throws Exception {
    for (byte[] bytes :
        List.of(
            "GET / HTTP/1.1\r\n\r\n".getBytes(UTF_8),
            new byte[] {0, 0, 0, 8, 4, -46, 22, 46},
            concat(startup(), new byte[] {'Q', -1, -1, -1, -1}),
            startup())) {
      try (Socket socket = new Socket("127.0.0.1", router.port())) {
        socket.getOutputStream().write(bytes);
      }
    }
    router.replica().responder = statement -> "garbage\n\n\n".getBytes(UTF_8);
    try (TestClient client = router.connect()) {
      assertEquals(SERVED, client.query(read("r1")));
    }
  }
}
