package rushwood.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;
import rushwood.dispatch.FakeEventLoop;
import rushwood.dispatch.TurnBudget;

/** Tests when the reading of a client's socket ends in a turn. */
@SuppressWarnings("deprecation") // Netty's interface names a handle type that it deprecates
class ClientReadsTest {
  private static final int MAX_READS = 16;
  private static final int SMALL_READ_BYTES = 4096;

  private final FakeEventLoop loop = new FakeEventLoop();
  private final TurnBudget budget = new TurnBudget(loop.clock, 10 * FakeEventLoop.NANOS_PER_MILLI);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private boolean hasPendingRequest;
  private final ClientReads reads = new ClientReads(loop.clock, budget, () -> hasPendingRequest);
  private final RecvByteBufAllocator.Handle handle = reads.newHandle();

  private void startReading() {
    handle.reset(channel.config());
  }

  /** Reads as much as the buffer holds, or nothing; returns whether reading goes on. */
  private boolean read(boolean isFull) {
    ByteBuf buffer = handle.allocate(ByteBufAllocator.DEFAULT);
    int capacity = buffer.writableBytes();
    buffer.release();
    handle.attemptedBytesRead(capacity);
    handle.lastBytesRead(isFull ? capacity : 1);
    handle.incMessagesRead(1);
    return handle.continueReading();
  }

  private int nextReadBytes() {
    ByteBuf buffer = handle.allocate(ByteBufAllocator.DEFAULT);
    int bytes = buffer.writableBytes();
    buffer.release();
    return bytes;
  }

  private void useUpTime() {
    budget.hasTime();
    loop.stall(10);
  }

  @Test
  void aSocketIsReadUntilEmptyWhileThereIsTime() {
    startReading();
    for (int i = 1; i < MAX_READS; i++) {
      assertTrue(read(true));
    }
    assertFalse(read(true));
    assertFalse(reads.isCutShort());
  }

  /** Guards against turns of the event loop that last as long as clients have sent ahead. */
  @Test
  void readingIsCutShortWhenTheTimeOfTheTurnIsUsedUp() {
    useUpTime();
    startReading();
    assertEquals(SMALL_READ_BYTES, nextReadBytes());
    assertFalse(read(true));
    assertTrue(reads.isCutShort());
    loop.advanceBy(1);
    assertFalse(reads.isCutShort(), "there is time again");
  }

  /** A disconnect behind the last bytes is noticed in the same turn. */
  @Test
  void aSocketThatIsAlmostEmptyIsReadToItsEnd() {
    useUpTime();
    startReading();
    assertTrue(read(false));
    assertFalse(reads.isCutShort());
  }

  /** A disconnect must withhold a statement that is not sent yet. */
  @Test
  void aClientWithAPendingRequestIsReadUntilEmpty() {
    hasPendingRequest = true;
    useUpTime();
    startReading();
    assertTrue(read(true));
    assertTrue(nextReadBytes() > SMALL_READ_BYTES);
    assertFalse(reads.isCutShort());
  }

  @Test
  void inputIsProcessedAfterManyReadsThatWereCutShort() {
    for (int i = 1; i < ClientReads.MAX_CUT_SHORT_BYTES / SMALL_READ_BYTES; i++) {
      useUpTime();
      startReading();
      read(true);
      assertTrue(reads.isCutShort());
      loop.advanceBy(1);
    }
    useUpTime();
    startReading();
    assertFalse(read(true));
    assertFalse(reads.isCutShort());
  }
}
