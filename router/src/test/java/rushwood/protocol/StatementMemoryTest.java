package rushwood.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class StatementMemoryTest {
  private static final int MAX_MESSAGE_BYTES = StatementMemoryFixture.MAX_MESSAGE_BYTES;
  private static final int MAX_REFUSAL_BYTES = 1 << 20;
  private static final int LONG_MESSAGE_BYTES = 128 << 10;
  private static final long STALL_NANOS = 200_000_000L;
  private static final long NOW = 1_000_000_000L;

  private final StatementMemory memory = new StatementMemory();
  private final List<ByteBuf> buffers = new ArrayList<>();
  private final List<TestMessage> messages = new ArrayList<>();

  @AfterEach
  void releaseBuffers() {
    StatementMemoryFixture.release(buffers);
    messages.stream().filter(message -> !message.isDiscarded()).forEach(TestMessage::discard);
    assertEquals(0, memory.usedBytes());
  }

  /** An incomplete message that holds a buffer until it is discarded. */
  private final class TestMessage implements StatementMemory.IncompleteMessage {
    private final ByteBuf buffer;

    TestMessage(long now) {
      buffer = memory.allocate(LONG_MESSAGE_BYTES, 0, now);
      messages.add(this);
      memory.messageGrew(this, now);
    }

    @Override
    public void discard() {
      buffer.release();
    }

    boolean isDiscarded() {
      return buffer.refCnt() == 0;
    }
  }

  private boolean allocate(int bytes, long heldBytes, long now) {
    ByteBuf buffer = memory.allocate(bytes, heldBytes, now);
    if (buffer != null) {
      buffers.add(buffer);
    }
    return buffer != null;
  }

  @Test
  void buffersCountWithTheirCapacityUntilTheyAreReleased() {
    ByteBuf buffer = memory.allocate(1000, 0, NOW);
    assertNotNull(buffer);
    assertEquals(1000, buffer.capacity());
    assertEquals(1000, buffer.maxCapacity());
    ByteBuf statement = buffer.retainedSlice(0, 1);
    buffer.release();
    assertEquals(1000, memory.usedBytes(), "a part of it is still in use");
    statement.release();
    assertEquals(0, memory.usedBytes());
  }

  @Test
  void clientMayHoldHalfOfWhatIsFree() {
    assertEquals(false, allocate(1000, MAX_MESSAGE_BYTES / 2 - 999, NOW), "one byte too much");
    assertEquals(true, allocate(1000, MAX_MESSAGE_BYTES / 2 - 1000, NOW));
    assertEquals(false, allocate(1000, MAX_MESSAGE_BYTES / 2 - 1000, NOW));
    assertEquals(true, allocate(500, MAX_MESSAGE_BYTES / 2 - 1000, NOW));
  }

  @Test
  void shortMessagesHaveRoomWhenLongOnesHaveNone() {
    buffers.addAll(StatementMemoryFixture.fillUp(memory, LONG_MESSAGE_BYTES / 2));
    assertNull(memory.allocate(LONG_MESSAGE_BYTES, 0, NOW));
    for (int i = 0; i < 100; i++) {
      assertEquals(true, allocate(512, 0, NOW));
    }
  }

  @Test
  void refusalsHaveRoomOfTheirOwn() {
    buffers.addAll(StatementMemoryFixture.fillUp(memory, 1));
    assertEquals(MAX_MESSAGE_BYTES - 1, memory.usedBytes(), "messages never have the last byte");
    assertEquals(false, allocate(1, 0, NOW));
    for (int used = 0; used < MAX_REFUSAL_BYTES; used += 512) {
      buffers.add(memory.allocateForRefusals(512, 0));
    }
    assertNull(memory.allocateForRefusals(512, 0));
  }

  /** Clients that stopped in the middle of a message must not keep others from sending theirs. */
  @Test
  void messagesThatStoppedGrowingAreDiscardedForOthers() {
    TestMessage growing = new TestMessage(NOW);
    TestMessage first = new TestMessage(NOW);
    TestMessage second = new TestMessage(NOW + 1);
    buffers.addAll(StatementMemoryFixture.fillUp(memory, LONG_MESSAGE_BYTES / 2));
    long later = NOW + STALL_NANOS;
    memory.messageGrew(growing, later - 1);
    assertEquals(false, allocate(LONG_MESSAGE_BYTES, 0, later - 1));
    assertEquals(false, first.isDiscarded());
    assertEquals(true, allocate(LONG_MESSAGE_BYTES / 2, 0, later));
    assertEquals(true, first.isDiscarded());
    assertEquals(false, second.isDiscarded(), "there is enough room without it");
    assertEquals(true, allocate(LONG_MESSAGE_BYTES / 2, 0, later + 1));
    assertEquals(false, allocate(LONG_MESSAGE_BYTES, 0, later + 1));
    assertEquals(true, second.isDiscarded());
    assertEquals(false, growing.isDiscarded());
  }

  @Test
  void messagesThatEndedAreNotDiscarded() {
    TestMessage message = new TestMessage(NOW);
    memory.messageEnded(message);
    buffers.addAll(StatementMemoryFixture.fillUp(memory, LONG_MESSAGE_BYTES / 2));
    assertEquals(false, allocate(LONG_MESSAGE_BYTES, 0, NOW + STALL_NANOS));
    assertEquals(false, message.isDiscarded());
  }

  /**
   * One client that sends messages of a few bytes ahead took all memory in buffers for refusals.
   */
  @Test
  void clientMayHoldHalfOfWhatIsFreeForRefusals() {
    int heldBytes = 0;
    ByteBuf buffer = memory.allocateForRefusals(512, heldBytes);
    while (buffer != null) {
      buffers.add(buffer);
      heldBytes += 512;
      buffer = memory.allocateForRefusals(512, heldBytes);
    }
    long freeBytes = MAX_MESSAGE_BYTES + MAX_REFUSAL_BYTES - memory.usedBytes();
    assertEquals((double) freeBytes, 2.0 * heldBytes, 3 * 512);
    assertEquals(true, allocate(LONG_MESSAGE_BYTES, 0, NOW), "another client");
  }
}
