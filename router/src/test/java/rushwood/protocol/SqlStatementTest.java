package rushwood.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import rushwood.api.Request;

class SqlStatementTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  @AfterEach
  void assertAllBuffersReleased() {
    TestMessages.assertAllReleased();
  }

  @Test
  void requestIsBuiltFromTheFieldsOfTheComment() throws ProtocolException {
    SqlStatement statement =
        TestMessages.parse(
            "SELECT val FROM state WHERE uid = 's7' "
                + "/* id=9b1f,c=mine,t=acme,d=480,cluster=2,after=1767225600123,r=1 */");
    long now = 1767225601000L * NANOS_PER_MILLI;
    Request request = statement.toRequest(now, now - 100 * NANOS_PER_MILLI, Long.MAX_VALUE);
    assertEquals("9b1f", request.id().value());
    assertEquals("mine", request.requestClass().name());
    assertEquals("s7", request.session().value());
    assertEquals(2, request.group().value());
    assertEquals(
        now + 380 * NANOS_PER_MILLI, request.deadline(), "counts from the earliest arrival");
    assertEquals(877 * NANOS_PER_MILLI, request.sinceLastWriteNanos());
    assertEquals(
        now + 9,
        statement.toRequest(now, now, now + 9).deadline(),
        "limited by the latest deadline, as during shutdown");
    statement.release();
  }

  @Test
  void readsOfAClassWithoutSessionsHaveNoSession() throws ProtocolException {
    SqlStatement statement = TestMessages.parse(TestMessages.readStatement("a", ",d=480"));
    assertNull(statement.toRequest(0, 0, 1).session());
    assertEquals(0, statement.toRequest(0, 0, 1).sinceLastWriteNanos());
    statement.release();
  }

  @Test
  void messageDiffersOnlyInTheTimeout() throws ProtocolException {
    for (String timeout : new String[] {"7", "480", "12000"}) {
      SqlStatement statement =
          TestMessages.parse(TestMessages.writeStatement("a", ",d=480,after=5"));
      byte[] message = TestMessages.readAndRelease(statement.toMessage(Long.parseLong(timeout)));
      assertArrayEquals(
          TestMessages.query(TestMessages.writeStatement("a", ",d=" + timeout + ",after=5")),
          message);
      statement.release();
    }
  }

  /** A channel copies messages that are not direct, which doubles the memory of long statements. */
  @Test
  void messageNeedsNoCopyOfTheStatement() throws ProtocolException {
    SqlStatement statement = TestMessages.parse(TestMessages.writeStatement("a", ",d=480"));
    ByteBuf message = statement.toMessage(480);
    assertTrue(message.isDirect());
    message.release();
    statement.release();
  }
}
