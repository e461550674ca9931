package rushwood.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ClientProtocolTest {
  private static final String WELCOME = "R S S S S S K Z";
  private static final String READ = Bytes.read("a", ",d=480");

  /** Answers each access by its text, at once or when told. */
  private static final class Connection implements ClientProtocol.Session {
    final ByteBuf out = Bytes.ALLOCATOR.heapBuffer();
    final List<String> accesses = new ArrayList<>();
    final ClientProtocol protocol = new ClientProtocol(Bytes.ALLOCATOR, this);
    boolean ready = true;
    boolean atOnce = true;
    boolean closed;
    boolean left;
    long cancelled;
    boolean booked;
    boolean resume;

    @Override
    public boolean ready() {
      return ready;
    }

    @Override
    public void access(ByteBuf text) throws Fault {
      new SqlStatement(text, Bytes.PRODUCTS).release();
      accesses.add(text.toString(StandardCharsets.UTF_8));
      if (atOnce) {
        protocol.sendResult(Bytes.buffer(Bytes.row("v")));
      }
    }

    @Override
    public int counters(ByteBuf rows) {
      Messages.row(rows, "one", "1");
      return 1;
    }

    @Override
    public void rejected(Fault fault) {}

    @Override
    public void write(ByteBuf written) {
      out.writeBytes(written);
      written.release();
    }

    @Override
    public void booked() {
      booked = true;
    }

    @Override
    public void close() {
      closed = true;
    }

    @Override
    public long key() {
      return 0x100000002L;
    }

    @Override
    public void cancel(long key) {
      cancelled = key;
    }

    @Override
    public void left() {
      left = true;
    }

    @Override
    public void later() {
      resume = true;
    }

    Connection feed(List<ByteBuf> parts) {
      for (ByteBuf part : parts) {
        if (closed) {
          part.release(); // as the driver does
        } else {
          protocol.feed(part);
          turn();
        }
      }
      return this;
    }

    Connection feed(byte[]... parts) {
      return feed(List.of(Bytes.buffer(Bytes.join(parts))));
    }

    void turn() {
      while (resume && !closed) {
        resume = false;
        protocol.resume();
      }
    }

    /** What was written since the last look. */
    String types() {
      byte[] bytes = new byte[out.readableBytes()];
      out.readBytes(bytes);
      return Bytes.types(bytes);
    }
  }

  @AfterEach
  void released() {
    Bytes.allReleased();
  }

  private static void check(String expected, boolean closes, byte[]... parts) {
    Bytes.everyWay(
        Bytes.join(parts),
        pieces -> {
          Connection connection = new Connection().feed(pieces);
          assertEquals(expected, connection.types());
          assertEquals(closes, connection.closed);
          connection.protocol.closed();
        });
  }

  @Test
  void startupFollowedByQueries() {
    check(
        WELCOME + " T D C Z I Z T D C Z",
        false,
        Bytes.startup(),
        Bytes.query(READ),
        Bytes.query(" ; "),
        Bytes.query(READ));
  }

  @Test
  void encryptionIsDeclinedAndTheClientGoesOn() {
    byte[] asked = Bytes.startup(80877103, "");
    Bytes.everyWay(
        Bytes.join(asked, Bytes.startup()),
        pieces -> {
          Connection connection = new Connection().feed(pieces);
          assertEquals('N', connection.out.readByte());
          assertEquals(WELCOME, connection.types());
          connection.protocol.closed();
        });
  }

  @Test
  void otherOpenings() {
    check("", true, Bytes.startup(80877102, "12345678"));
    check("E(0A000)", true, Bytes.startup(2 << 16, "\0"));
    check("v " + WELCOME, false, Bytes.startup(Messages.VERSION + 2, "user\0client\0\0"));
    check("E(08P01)", true, new byte[] {0, 0, 0, 5, 0});
    check("E(08P01)", true, "GET / HTTP/1.1\r\n".getBytes(StandardCharsets.US_ASCII));
  }

  @Test
  void extendedQueriesAreSkippedUpToTheirSync() {
    check(
        WELCOME + " E(0A000) Z T D C Z",
        false,
        Bytes.startup(),
        Bytes.message('P', new byte[9]),
        Bytes.message('B', new byte[9]),
        Bytes.message('E', new byte[9]),
        Bytes.message('H', new byte[0]),
        Bytes.query("SELECT 1"),
        Bytes.message('S', new byte[0]),
        Bytes.query(READ));
  }

  @Test
  void framingThatIsLostEndsTheConnection() {
    check(WELCOME + " E(08P01)", true, Bytes.startup(), new byte[] {'Q', 0, 0, 0, 3});
    check(WELCOME + " E(08P01)", true, Bytes.startup(), new byte[] {'Q', 127, 0, 0, 0});
    check(WELCOME + " E(08P01)", true, Bytes.startup(), Bytes.message('?', new byte[0]));
    check(WELCOME, true, Bytes.startup(), Bytes.message('X', new byte[0]), Bytes.query(READ));
  }

  @Test
  void badStatementsReachNoHost() {
    for (String statement :
        List.of("SELECT 1", "DROP TABLE state", "SELECT val /* id=1", READ + " x")) {
      Connection connection =
          new Connection().feed(Bytes.startup(), Bytes.query(statement), Bytes.query(READ));
      assertEquals(WELCOME + " E(42601) Z T D C Z", connection.types());
      assertEquals(List.of(READ), connection.accesses);
    }
    check(WELCOME + " E(08P01) Z", false, Bytes.startup(), Bytes.message('Q', new byte[] {'S'}));
  }

  @Test
  void notReadyAnswersNoEmptyQuery() {
    Connection connection = new Connection();
    connection.ready = false;
    assertEquals(
        WELCOME + " E(57P03) Z", connection.feed(Bytes.startup(), Bytes.query("")).types());
    connection.ready = true;
    assertEquals("I Z", connection.feed(Bytes.query("")).types());
  }

  @Test
  void countersAreShown() {
    check(WELCOME + " T D C Z", false, Bytes.startup(), Bytes.query("show counters;"));
  }

  /** Each access waits for the answer of the one before; each has one answer, of its own kind. */
  @Test
  void oneAnswerEachInOrder() {
    Connection connection = new Connection();
    connection.atOnce = false;
    connection.feed(Bytes.startup(), Bytes.query(READ), Bytes.query(READ), Bytes.query(READ));
    assertEquals(WELCOME, connection.types());
    assertEquals(1, connection.accesses.size());
    connection.protocol.sendRejection(250_000_000);
    assertEquals("E(53300) Z", connection.types());
    connection.protocol.sendFailure();
    assertEquals("", connection.types(), "a second answer to the same access");
    connection.turn();
    assertEquals(2, connection.accesses.size());
    connection.protocol.sendFailure();
    connection.turn();
    assertEquals("E(58000) Z", connection.types());
    connection.protocol.closed();
    connection.protocol.sendResult(Bytes.buffer(Bytes.row("v")));
    assertEquals("", connection.types(), "an answer to a client that has left");
  }

  @Test
  void adviceStandsInTheDetail() {
    Connection connection = new Connection();
    connection.atOnce = false;
    connection.feed(Bytes.startup(), Bytes.query(READ));
    connection.protocol.sendRejection(250_000_000);
    assertTrue(connection.out.toString(StandardCharsets.UTF_8).contains("D250\0"));
    connection.protocol.closed();
  }

  @Test
  void finishingClosesBetweenAccessesOnly() {
    Connection idle = new Connection().feed(Bytes.startup());
    idle.protocol.finish();
    assertTrue(idle.closed);
    Connection busy = new Connection();
    busy.atOnce = false;
    byte[] second = Bytes.query(READ);
    busy.feed(Bytes.startup(), Bytes.query(READ), Arrays.copyOf(second, 9));
    busy.protocol.finish();
    busy.protocol.sendFailure();
    busy.turn();
    assertEquals(false, busy.closed, "an access is half read");
    busy.feed(Arrays.copyOfRange(second, 9, second.length));
    busy.protocol.sendFailure();
    busy.turn();
    assertTrue(busy.closed);
    assertEquals(WELCOME + " E(58000) Z E(58000) Z", busy.types());
  }
}
