package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.function.IntUnaryOperator;
import org.jspecify.annotations.Nullable;

/**
 * Splits a stream of bytes into messages. A message is a slice of the buffer in which it arrived
 * and shares its reference count; bytes are copied only if a message spans several buffers.
 */
public final class MessageReader {
  private static final int TYPE_BYTES = 1;
  private static final int NO_TYPE_BYTES = 0;
  private static final int LENGTH_FIELD_BYTES = 4;

  private final ByteBufAllocator allocator;
  private final IntUnaryOperator maxLengthByType;
  private @Nullable ByteBuf buffer;
  private boolean isBufferOwn; // allocated by the allocator
  private int type;

  /**
   * Creates a reader without input.
   *
   * @param allocator allocates the buffers for messages that span several reads
   * @param maxLengthByType returns the maximum of the length field of a message in bytes for a type
   *     byte, or for 0 if the message has no type byte; returns 0 if the type is unknown
   */
  public MessageReader(ByteBufAllocator allocator, IntUnaryOperator maxLengthByType) {
    this.allocator = allocator;
    this.maxLengthByType = maxLengthByType;
  }

  /** Appends input and takes ownership of the buffer. */
  public void feed(ByteBuf in) {
    releaseIfEmpty();
    keepUnread();
    if (buffer == null) {
      buffer = in;
      isBufferOwn = false;
    } else {
      buffer = ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(allocator, buffer, in);
    }
  }

  /**
   * Reads the next message as one without a type byte, as clients send at startup.
   *
   * @return a slice whose reader index is at the body, or null if no complete message is available.
   *     Not retained: valid until input is fed or the buffer is released.
   * @throws ProtocolException (fatal) if the length is not allowed
   */
  public @Nullable ByteBuf nextStartupMessage() throws ProtocolException {
    return readMessage(NO_TYPE_BYTES);
  }

  /**
   * Reads the next message. Its type is then returned by {@link #type}.
   *
   * @return a slice of the whole message, whose reader index is at the body, or null if no complete
   *     message is available. Not retained: valid until input is fed or the buffer is released.
   * @throws ProtocolException (fatal) if the type is unknown or the length is not allowed
   */
  public @Nullable ByteBuf nextMessage() throws ProtocolException {
    return readMessage(TYPE_BYTES);
  }

  /** Returns the type of the last message that was read. */
  public char type() {
    return (char) type;
  }

  private @Nullable ByteBuf readMessage(int typeBytes) throws ProtocolException {
    ByteBuf unread = buffer;
    if (unread == null || !unread.isReadable()) {
      return null;
    }
    int available = unread.readableBytes();
    int start = unread.readerIndex();
    int nextType =
        typeBytes == NO_TYPE_BYTES ? MessageLimits.STARTUP_TYPE : unread.getUnsignedByte(start);
    int maxLength = maxLengthByType.applyAsInt(nextType);
    if (maxLength < LENGTH_FIELD_BYTES) {
      // Rejected by the first byte, because the rest of the message may never arrive.
      throw ProtocolException.protocolViolation("a message of unknown type");
    }
    if (available < typeBytes + LENGTH_FIELD_BYTES) {
      return null;
    }
    int length = unread.getInt(start + typeBytes);
    if (length < LENGTH_FIELD_BYTES || length > maxLength) {
      throw ProtocolException.protocolViolation("a message of " + length + " bytes");
    }
    if (available < typeBytes + length) {
      return null;
    }
    type = nextType;
    ByteBuf message = unread.readSlice(typeBytes + length);
    return message.skipBytes(typeBytes + LENGTH_FIELD_BYTES);
  }

  /** Returns the number of bytes that were fed but are not part of a message that was read. */
  public int unreadBytes() {
    return buffer == null ? 0 : buffer.readableBytes();
  }

  /**
   * Copies the unread bytes into a buffer of the allocator, so that they do not keep the larger
   * buffer in which they arrived. Called before waiting for more input.
   */
  public void keepUnread() {
    ByteBuf unread = buffer;
    if (unread != null && unread.isReadable() && !isBufferOwn) {
      int length = unread.readableBytes();
      buffer = allocator.directBuffer(length).writeBytes(unread);
      isBufferOwn = true;
      unread.release();
    }
  }

  /** Releases the buffer if it has no unread bytes. Called before waiting for more input. */
  public void releaseIfEmpty() {
    if (buffer != null && !buffer.isReadable()) {
      close();
    }
  }

  /** Discards all unread bytes and releases the buffer. The reader can still be fed. */
  public void close() {
    if (buffer != null) {
      buffer.release();
      buffer = null;
    }
  }
}
