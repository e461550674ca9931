package rushwood.protocol;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The memory for responses of which hosts have sent a part so far. A buffer counts with its whole
 * capacity from its allocation until its last reference is released.
 *
 * <p>While more than {@link #MAX_BYTES} are in use, the incomplete response that has not grown for
 * longest is abandoned, so that hosts that stop in the middle leave room for the others. Used on
 * one event loop only.
 */
public final class ResponseMemory {
  /** An incomplete response, which holds memory. */
  interface IncompleteResponse {
    /** Closes the connection, which releases the memory. */
    void abandon();
  }

  /** A fifth of the direct memory of the process; eight responses of the longest kind. */
  private static final int MAX_BYTES = 8 << 20;

  // Unpooled, because a pool rounds sizes up and keeps chunks that are only partly in use.
  private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(true);

  private final Set<IncompleteResponse> responses = new LinkedHashSet<>(); // latest grown last

  /** Returns the number of bytes in use. */
  public long usedBytes() {
    return allocator.metric().usedDirectMemory();
  }

  /** Returns the allocator of the buffers that count. */
  ByteBufAllocator allocator() {
    return allocator;
  }

  /**
   * Records that a part of a response has arrived, and abandons others, or it, for lack of room.
   */
  void responseGrew(IncompleteResponse response) {
    responses.remove(response); // so that it becomes the last one
    responses.add(response);
    while (usedBytes() > MAX_BYTES && !responses.isEmpty()) {
      Iterator<IncompleteResponse> earliestFirst = responses.iterator();
      IncompleteResponse abandoned = earliestFirst.next();
      earliestFirst.remove();
      abandoned.abandon();
    }
  }

  /** Records that a response is complete, or that its connection has ended. */
  void responseEnded(IncompleteResponse response) {
    responses.remove(response);
  }
}
