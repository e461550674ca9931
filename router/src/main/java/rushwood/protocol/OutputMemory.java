package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;

/**
 * The memory for output to all clients that was not written to their sockets yet. A buffer counts
 * with its whole capacity from its allocation until it is released, which a channel does once the
 * buffer is written. Used on one event loop only.
 */
public final class OutputMemory {
  /** A fifth of the direct memory of the process; answers in flight come on top of it. */
  private static final int MAX_BYTES = 8 << 20;

  // Unpooled, because a pool rounds sizes up and keeps chunks that are only partly in use.
  private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(true);

  /** Returns a new buffer, owned by the caller. */
  ByteBuf allocate(int initialCapacity) {
    return allocator.directBuffer(initialCapacity);
  }

  /** Returns the number of bytes in use. */
  public long usedBytes() {
    return allocator.metric().usedDirectMemory();
  }

  /** Returns whether so much is in use that nothing may be done that causes more output. */
  public boolean isExhausted() {
    return usedBytes() > MAX_BYTES;
  }
}
