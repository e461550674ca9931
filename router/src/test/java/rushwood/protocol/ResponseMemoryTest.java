package rushwood.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import rushwood.dispatch.BackendConnection;
import rushwood.dispatch.BackendResponse;

/** Tests the memory for responses through the protocol of many connections. */
class ResponseMemoryTest {
  private static final int MAX_BYTES = 8 << 20;
  private static final int LONG_VALUE_BYTES = 900_000;
  private static final int READ_BYTES = 64 << 10;

  private final ResponseMemory memory = new ResponseMemory();
  private final List<Backend> backends = new ArrayList<>();

  /** A connection on which a statement was sent. */
  private final class Backend implements BackendConnection.Listener {
    private final BackendProtocol protocol =
        new BackendProtocol(TestMessages.ALLOCATOR, memory, this, this::end);
    private byte[] row;
    private boolean isLost;

    private Backend() {
      feed(TestMessages.startupResponse());
      protocol.beginStatement(false);
      backends.add(this);
    }

    private void end() {
      protocol.connectionLost(true);
    }

    /** Feeds the bytes in reads of {@link #READ_BYTES}, until the connection is lost. */
    private void feed(byte[] bytes) {
      for (int start = 0; start < bytes.length && !isLost; start += READ_BYTES) {
        int end = Math.min(bytes.length, start + READ_BYTES);
        protocol.feed(TestMessages.buffer(Arrays.copyOfRange(bytes, start, end)));
        protocol.completeRead();
      }
    }

    @Override
    public void connected() {}

    @Override
    public void responseReceived(BackendResponse response, boolean reusable) {
      row = TestMessages.readAndRelease(response.row());
    }

    @Override
    public void connectionLost(boolean accepted) {
      isLost = true;
    }
  }

  @AfterEach
  void assertAllReleased() {
    backends.forEach(backend -> backend.protocol.close());
    assertEquals(0, memory.usedBytes());
    TestMessages.assertAllReleased();
  }

  private static byte[] longRow() {
    return TestMessages.rowResponse("v".repeat(LONG_VALUE_BYTES));
  }

  /** Guards against hosts that stop in the middle of long responses and use up direct memory. */
  @Test
  void hostsThatStopInTheMiddleLeaveRoomForLongResponses() {
    byte[] part = Arrays.copyOf(longRow(), 600_000);
    for (int i = 0; i < 60; i++) {
      new Backend().feed(part);
      assertTrue(memory.usedBytes() <= MAX_BYTES);
    }
    Backend served = new Backend();
    served.feed(TestMessages.concat(longRow(), TestMessages.readyForQuery()));
    assertArrayEquals(longRow(), served.row);
    assertTrue(backends.get(0).isLost, "it has not grown for longest");
    long kept = backends.stream().filter(backend -> !backend.isLost).count();
    assertTrue(kept >= 4, () -> kept + " of 61 connections were kept");
  }

  /** Guards against a small part of a response that keeps the large buffer in which it arrived. */
  @Test
  void smallPartsAreCopied() {
    int parts = 400;
    List<ByteBuf> reads = new ArrayList<>();
    IntStream.range(0, parts)
        .forEach(
            i -> {
              Backend backend = new Backend();
              ByteBuf read = TestMessages.buffer(Arrays.copyOf(longRow(), 100));
              reads.add(read);
              backend.protocol.feed(read);
              backend.protocol.completeRead();
            });
    assertTrue(reads.stream().allMatch(read -> read.refCnt() == 0), "they were not copied");
    assertTrue(memory.usedBytes() <= parts * 200L, () -> memory.usedBytes() + " bytes");
  }
}
