package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/** Fills a {@link StatementMemory}, as many clients would do together. */
public final class StatementMemoryFixture {
  /** For messages of all clients. */
  public static final int MAX_MESSAGE_BYTES = 16 << 20;

  private static final long NOW = 0;
  private static final int CLIENT_BYTES = 64 << 10;

  private StatementMemoryFixture() {}

  /** Allocates buffers until no message of the given length has room; returns the buffers. */
  public static List<ByteBuf> fillUp(StatementMemory memory, int messageBytes) {
    List<ByteBuf> buffers = new ArrayList<>();
    for (int bytes = CLIENT_BYTES; bytes >= messageBytes; bytes /= 2) {
      for (ByteBuf buffer = memory.allocate(bytes, 0, NOW);
          buffer != null;
          buffer = memory.allocate(bytes, 0, NOW)) {
        buffers.add(buffer);
      }
    }
    return buffers;
  }

  public static void release(List<ByteBuf> buffers) {
    buffers.forEach(ByteBuf::release);
  }
}
