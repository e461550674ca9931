package rushwood.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import rushwood.api.Request;

class SqlStatementTest {
  private static final long MS = 1_000_000L;

  @AfterEach
  void released() {
    TestMessages.assertAllReleased();
  }

  private static SqlStatement read(String text) throws ProtocolException {
    ByteBuf buffer = TestMessages.buffer(text.getBytes(StandardCharsets.UTF_8));
    try {
      return SqlStatementParser.parse(buffer, TestMessages.REQUEST_CLASSES);
    } finally {
      buffer.release();
    }
  }

  private static void bad(String state, String text) {
    ProtocolException fault = assertThrows(ProtocolException.class, () -> read(text));
    assertEquals(state, fault.sqlState(), text);
    assertEquals(false, fault.isFatal());
  }

  @Test
  void whatTheModuleHears() throws ProtocolException {
    SqlStatement statement =
        read(
            "SELECT val FROM state WHERE uid = 's7' "
                + "/* id=9b1f,c=mine,t=acme,d=480,cluster=2,after=1767225600123,r=1 */");
    long now = 1767225601000L * MS;
    Request access = statement.toRequest(now, now - 100 * MS, Long.MAX_VALUE);
    assertEquals("9b1f", access.id().value());
    assertEquals("mine", access.requestClass().name());
    assertEquals("s7", access.session().value());
    assertEquals(2, access.group().value());
    assertEquals(now + 380 * MS, access.deadline(), "counted from when it came");
    assertEquals(877 * MS, access.sinceLastWriteNanos());
    assertEquals(
        now + 9,
        statement.toRequest(now, now, now + 9).deadline(),
        "no longer than this router is there");
    statement.release();
  }

  @Test
  void readsWithoutSessionsNameNone() throws ProtocolException {
    SqlStatement statement = read(TestMessages.readStatement("a", ",d=480"));
    assertNull(statement.toRequest(0, 0, 1).session());
    assertEquals(0, statement.toRequest(0, 0, 1).sinceLastWriteNanos());
    statement.release();
  }

  @Test
  void onlyTheTimeChanges() throws ProtocolException {
    for (String time : new String[] {"7", "480", "12000"}) {
      SqlStatement statement = read(TestMessages.writeStatement("a", ",d=480,after=5"));
      byte[] message = TestMessages.readAndRelease(statement.toMessage(Long.parseLong(time)));
      assertArrayEquals(
          TestMessages.query(TestMessages.writeStatement("a", ",d=" + time + ",after=5")), message);
      statement.release();
    }
  }

  @Test
  void faults() {
    bad("42601", TestMessages.readStatement("a", ""));
    bad("42601", TestMessages.readStatement("a", ",d=1,d=2"));
    bad("42601", TestMessages.readStatement("", ",d=1"));
    bad("42601", TestMessages.readStatement("a", ",d=1,x"));
    bad("42601", "SELECT val FROM state /* id=a,c=pass,d=1,cluster=2 */");
    bad("42601", "/* id=a,c=pass,d=1 */");
    bad("42601", "*/");
    bad("42601", TestMessages.readStatement("a", ",d=1") + ";");
    bad("42601", TestMessages.readStatement("a", ",d=1").replace("state", "other"));
    bad("42601", TestMessages.readStatement("a", ",d=1").replace("k1", "k'1"));
    bad("42601", TestMessages.readStatement("a", ",d=1").replace("k1", ""));
    bad("42601", TestMessages.readStatement("a", ",d=1").replace("k1", "k\u00e9"));
    bad("42601", TestMessages.readStatement("a", ",d=1,x=a\nb"));
    bad("42601", TestMessages.readStatement("a", ",d=1").replace(" */", " */ -- */"));
    bad("42601", TestMessages.writeStatement("a", ",d=1").replace("9f03", "9f0"));
    bad("42601", TestMessages.writeStatement("a", ",d=1").replace("9f03", "9g03"));
    bad("42601", TestMessages.writeStatement("a", ",d=1").replace("RETURNING val ", ""));
    bad("22023", TestMessages.readStatement("a", ",d=3600001"));
    bad("22023", TestMessages.readStatement("a", ",d=0"));
    bad("22023", TestMessages.readStatement("a", ",d=-1"));
    bad("22023", TestMessages.readStatement("a", ",d=99999999999"));
    bad("22023", TestMessages.readStatement("a", ",d=1,after=x"));
    bad("22023", TestMessages.readStatement("a", ",d=1").replace("c=pass", "c=none"));
    bad("22023", TestMessages.readStatement("a", ",d=1").replace("c=pass", "c=pay"));
    bad("22023", TestMessages.readStatement("a", ",d=1").replace("cluster=2", "cluster=two"));
    bad("22023", TestMessages.readStatement("a".repeat(200), ",d=1"));
  }
}
