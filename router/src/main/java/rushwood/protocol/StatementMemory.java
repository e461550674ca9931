package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The memory for the input of all clients: messages that are incomplete or wait to be processed,
 * and the statements of pending requests. A buffer counts with its whole capacity from its
 * allocation until its last reference is released, whoever holds it. Used on one event loop only.
 *
 * <p>A buffer for a message is allocated under these rules:
 *
 * <ol>
 *   <li>What one client holds may grow to half of what is free for all. So a client that sends far
 *       ahead is limited without a fixed bound, and while long messages find no room any more,
 *       short ones still do.
 *   <li>If that is too little, incomplete messages that have not grown for {@link #STALL_NANOS} are
 *       discarded, those that waited longest first.
 *   <li>Otherwise there is no buffer, and the message has to be refused.
 * </ol>
 */
public final class StatementMemory {
  /** An incomplete message whose buffer may be taken back. */
  interface IncompleteMessage {
    /** Releases the buffer; the rest of the message has to be skipped when it arrives. */
    void discard();
  }

  /** For messages; less than half of the direct memory of the process. */
  private static final int MAX_MESSAGE_BYTES = 16 << 20;

  /** For the record of refused messages: one small buffer for each of 2,048 clients. */
  private static final int MAX_REFUSAL_BYTES = 1 << 20;

  private static final int FREE_SHARE_DIVISOR = 2;

  /** Many round trips: a client that is still sending has sent more by then. */
  private static final long STALL_NANOS = 200_000_000L;

  // Unpooled, because a pool rounds sizes up and keeps chunks that are only partly in use.
  private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(true);
  private final UnpooledByteBufAllocator refusalAllocator = new UnpooledByteBufAllocator(true);

  /** Maps each incomplete message to the time at which it last grew, the earliest time first. */
  private final Map<IncompleteMessage, Long> incompleteMessages = new LinkedHashMap<>();

  /** Returns the number of bytes in use. */
  public long usedBytes() {
    return allocator.metric().usedDirectMemory() + refusalAllocator.metric().usedDirectMemory();
  }

  /**
   * Allocates a buffer with a fixed capacity for one or more messages of a client.
   *
   * @param heldBytes the capacity of all buffers that the client holds already
   * @param now clock time in nanoseconds
   * @return the buffer, owned by the caller, or null if there is no room
   */
  @Nullable ByteBuf allocate(int capacity, long heldBytes, long now) {
    boolean hasRoom = hasRoomFor(heldBytes + capacity);
    while (!hasRoom && discardStalledMessage(now)) {
      hasRoom = hasRoomFor(heldBytes + capacity);
    }
    return hasRoom ? allocator.directBuffer(capacity, capacity) : null;
  }

  /**
   * Allocates a buffer to record that messages of a client were refused. The first one of a client
   * needs only room; further ones may grow to half of what is free for all.
   *
   * @param heldBytes the capacity of all such buffers that the client holds already
   * @return the buffer, owned by the caller, or null if not even such a buffer has room
   */
  @Nullable ByteBuf allocateForRefusals(int capacity, long heldBytes) {
    long freeBytes = MAX_MESSAGE_BYTES + MAX_REFUSAL_BYTES - usedBytes();
    boolean isWithinShare =
        heldBytes == 0 || heldBytes + capacity <= freeBytes / FREE_SHARE_DIVISOR;
    return capacity <= freeBytes && isWithinShare
        ? refusalAllocator.directBuffer(capacity, capacity)
        : null;
  }

  /** Returns whether the buffer was returned by {@link #allocateForRefusals}. */
  boolean isForRefusals(ByteBuf buffer) {
    return buffer.alloc() == refusalAllocator;
  }

  private boolean hasRoomFor(long clientBytes) {
    return clientBytes <= (MAX_MESSAGE_BYTES - usedBytes()) / FREE_SHARE_DIVISOR;
  }

  /** Discards the message that has not grown for longest, if that is long enough. */
  private boolean discardStalledMessage(long now) {
    Iterator<Map.Entry<IncompleteMessage, Long>> oldestFirst =
        incompleteMessages.entrySet().iterator();
    if (!oldestFirst.hasNext()) {
      return false;
    }
    Map.Entry<IncompleteMessage, Long> oldest = oldestFirst.next();
    if (now - oldest.getValue() < STALL_NANOS) {
      return false;
    }
    IncompleteMessage stalled = oldest.getKey();
    oldestFirst.remove();
    stalled.discard();
    return true;
  }

  /** Records that an incomplete message has a buffer and that a part of it has just arrived. */
  void messageGrew(IncompleteMessage message, long now) {
    incompleteMessages.remove(message); // so that it becomes the last one
    incompleteMessages.put(message, now);
  }

  /** Records that a message is complete, or that its buffer was released. */
  void messageEnded(IncompleteMessage message) {
    incompleteMessages.remove(message);
  }
}
