package rushwood.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class FrontendMessageQueueTest {
  private static final int LONG_TEXT_BYTES = 128 << 10;
  private static final long NOW = 0;
  private static final int SYNCS_PER_READ = 10_000;
  private static final int STEPS = 20_000; // of all random clients together
  private static final long STALL_NANOS = 200_000_000L;

  private final StatementMemory memory = new StatementMemory();
  private final FrontendMessageQueue queue = new FrontendMessageQueue(memory);

  @AfterEach
  void assertAllBuffersReleased() {
    queue.close();
    assertEquals(0, memory.usedBytes());
    TestMessages.assertAllReleased();
  }

  private void feed(byte[]... messages) {
    queue.feed(TestMessages.buffer(TestMessages.concat(messages)), NOW);
  }

  private void startSession() throws ProtocolException {
    feed(TestMessages.startup());
    assertEquals(MessageLimits.STARTUP_TYPE, queue.next().type());
  }

  private static byte[] longQuery() {
    return TestMessages.query("x".repeat(LONG_TEXT_BYTES));
  }

  /** Returns the text of the next query, "refused", or null if there is no message. */
  private String nextQuery() throws ProtocolException {
    FrontendMessage message = queue.next();
    if (message == null) {
      return null;
    }
    assertEquals(FrontendMessageType.QUERY, message.type());
    ByteBuf body = message.body();
    return message.isRefused()
        ? "refused"
        : body.toString(body.readerIndex(), body.readableBytes() - 1, StandardCharsets.UTF_8);
  }

  @Test
  void queriesWithoutRoomAreRefusedInTheirPlace() throws ProtocolException {
    startSession();
    List<ByteBuf> others = StatementMemoryFixture.fillUp(memory, LONG_TEXT_BYTES / 2);
    byte[] refused = longQuery();
    feed(TestMessages.query("a"), refused, refused, TestMessages.query("b"), refused);
    int unreadQueries = 5;
    for (String expected : new String[] {"a", "refused", "refused", "b", "refused"}) {
      assertTrue(queue.hasUnread());
      assertEquals(unreadQueries--, queue.unreadQueries());
      assertEquals(expected, nextQuery());
    }
    assertNull(nextQuery());
    assertFalse(queue.hasUnread());
    StatementMemoryFixture.release(others);
    feed(refused);
    assertEquals(LONG_TEXT_BYTES, nextQuery().length());
  }

  @Test
  void discardedMessageIsRefusedOnceItsRestHasArrived() throws ProtocolException {
    startSession();
    byte[] query = longQuery();
    feed(Arrays.copyOf(query, LONG_TEXT_BYTES / 2));
    List<ByteBuf> others = StatementMemoryFixture.fillUp(memory, LONG_TEXT_BYTES / 2);
    long usedBefore = memory.usedBytes();
    assertNull(memory.allocate(query.length, 0, NOW + STALL_NANOS));
    assertTrue(memory.usedBytes() <= usedBefore - query.length, "the message is discarded");
    assertTrue(queue.hasUnread());
    feed(Arrays.copyOfRange(query, LONG_TEXT_BYTES / 2, query.length), TestMessages.query("a"));
    assertEquals("refused", nextQuery());
    assertEquals("a", nextQuery());
    StatementMemoryFixture.release(others);
  }

  @Test
  void inputEndsWithAnErrorIfNotEvenRefusalsHaveRoom() throws ProtocolException {
    startSession();
    feed(TestMessages.query("a"));
    List<ByteBuf> others = StatementMemoryFixture.fillUp(memory, 1);
    for (ByteBuf buffer = memory.allocateForRefusals(1024, 0);
        buffer != null;
        buffer = memory.allocateForRefusals(1024, 0)) {
      others.add(buffer);
    }
    for (int i = 0; i < 1000; i++) {
      feed(TestMessages.query("b"), TestMessages.message('S', new byte[0]));
    }
    assertEquals("a", nextQuery());
    ProtocolException end = assertThrows(ProtocolException.class, this::skipStoredMessages);
    assertTrue(end.isFatal());
    assertEquals(SqlState.TOO_MANY_CONNECTIONS, end.sqlState());
    StatementMemoryFixture.release(others);
  }

  /** A flood of Sync messages of one client took the memory of all, so others were refused. */
  @Test
  void emptyMessagesOfOneClientLeaveRoomForOthers() throws ProtocolException {
    startSession();
    byte[][] syncs = new byte[SYNCS_PER_READ][];
    Arrays.fill(syncs, TestMessages.message('S', new byte[0]));
    byte[] flood = TestMessages.concat(syncs);
    for (long sent = 0;
        sent < 2L * StatementMemoryFixture.MAX_MESSAGE_BYTES;
        sent += flood.length) {
      feed(flood);
    }
    FrontendMessageQueue other = new FrontendMessageQueue(memory);
    byte[] query = longQuery();
    other.feed(TestMessages.buffer(TestMessages.concat(TestMessages.startup(), query)), NOW);
    assertEquals(MessageLimits.STARTUP_TYPE, other.next().type());
    assertFalse(other.next().isRefused());
    other.close();
  }

  private void skipStoredMessages() throws ProtocolException {
    FrontendMessage message = queue.next();
    while (message != null) {
      message = queue.next();
    }
  }

  @Test
  void bodiesOfUnsupportedMessagesAreNotStored() throws ProtocolException {
    startSession();
    long usedBefore = memory.usedBytes();
    feed(TestMessages.message('P', new byte[LONG_TEXT_BYTES]), TestMessages.query("a"));
    assertTrue(memory.usedBytes() - usedBefore <= 1024);
    assertEquals('P', queue.next().type());
    assertEquals("a", nextQuery());
  }

  /**
   * Whatever the order in which many clients send, stop, and are read: each query is read once and
   * in its place, whole or refused, and the memory stays within its limit.
   */
  @Test
  void everyQueryIsReadOnceInOrder() throws ProtocolException {
    for (int seed = 1; seed <= 10; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      StatementMemory shared = new StatementMemory();
      List<RandomClient> clients = new ArrayList<>();
      for (int i = 0; i < 100; i++) {
        clients.add(new RandomClient(random, shared));
      }
      for (int step = 0; step < STEPS; step++) {
        long now = step * (STALL_NANOS / 300);
        clients.get(random.nextInt(clients.size())).takeStep(now);
        assertTrue(shared.usedBytes() <= StatementMemoryFixture.MAX_MESSAGE_BYTES + (1 << 20));
      }
      int refused = 0;
      for (RandomClient client : clients) {
        client.finish(STEPS * STALL_NANOS);
        refused += client.messagesRefused;
      }
      assertTrue(refused > 0, "the memory never was short with seed " + seed);
      assertEquals(0, shared.usedBytes(), "seed " + seed);
    }
  }

  /** A client that sends numbered queries of random lengths in random pieces. */
  private static final class RandomClient {
    private final SplittableRandom random;
    private final FrontendMessageQueue queue;
    private byte[] unsent = TestMessages.startup();
    private int queriesSent;
    private int messagesRead;
    private int messagesRefused;

    RandomClient(SplittableRandom random, StatementMemory memory) {
      this.random = random;
      queue = new FrontendMessageQueue(memory);
    }

    void takeStep(long now) throws ProtocolException {
      if (random.nextInt(8) == 0) {
        readNext();
        return;
      }
      while (unsent.length == 0 || random.nextInt(4) == 0) {
        int textBytes = random.nextInt(3) == 0 ? random.nextInt(LONG_TEXT_BYTES) : 100;
        String text = queriesSent + " " + "x".repeat(textBytes);
        unsent = TestMessages.concat(unsent, TestMessages.query(text));
        queriesSent++;
      }
      send(random.nextInt(unsent.length + 1), now);
    }

    private void send(int bytes, long now) {
      queue.feed(TestMessages.buffer(Arrays.copyOf(unsent, bytes)), now);
      unsent = Arrays.copyOfRange(unsent, bytes, unsent.length);
    }

    /** Reads the next message, if there is one, and checks that it is the right one. */
    private boolean readNext() throws ProtocolException {
      FrontendMessage message = queue.next();
      if (message == null) {
        return false;
      }
      if (messagesRead == 0) {
        assertEquals(MessageLimits.STARTUP_TYPE, message.type());
      } else if (!message.isRefused()) {
        String text = message.body().toString(StandardCharsets.UTF_8);
        assertEquals(messagesRead - 1, Integer.parseInt(text.substring(0, text.indexOf(' '))));
      }
      messagesRefused += message.isRefused() ? 1 : 0;
      messagesRead++;
      return true;
    }

    void finish(long now) throws ProtocolException {
      send(unsent.length, now);
      while (readNext()) {
        assertTrue(messagesRead <= queriesSent + 1);
      }
      assertEquals(queriesSent + 1, messagesRead);
      assertFalse(queue.hasUnread());
      queue.close();
    }
  }
}
