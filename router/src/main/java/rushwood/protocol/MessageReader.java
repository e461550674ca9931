package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.function.IntUnaryOperator;
import org.jspecify.annotations.Nullable;

/**
 * Cuts a stream of bytes into messages. Messages are slices of the buffer in which they arrived and
 * share its reference count; bytes are copied only where a message spans two buffers.
 */
public final class MessageReader {
  private static final int TYPE_BYTES = 1;
  private static final int NO_TYPE_BYTES = 0;
  private static final int LENGTH_FIELD_BYTES = 4;

  private final ByteBufAllocator allocator;
  private final IntUnaryOperator maxLengthOfType;
  private @Nullable ByteBuf buffer;
  private int type;
  private int scannedBytes; // of the unread bytes, those that hasMessageAhead has passed

  /**
   * Creates a reader without input.
   *
   * @param maxLengthOfType the most that the length field of a message of that type may say, 0 for
   *     an unknown type; a startup message is asked for as type 0
   */
  public MessageReader(ByteBufAllocator allocator, IntUnaryOperator maxLengthOfType) {
    this.allocator = allocator;
    this.maxLengthOfType = maxLengthOfType;
  }

  /** Appends input; takes the buffer over. */
  public void feed(ByteBuf in) {
    if (buffer == null) {
      buffer = in;
    } else {
      buffer = ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(allocator, buffer, in);
    }
  }

  /**
   * The next message as one without a type, as a client's first, once it is complete.
   *
   * @return the body; not retained: valid until the reader is fed, emptied or closed
   * @throws ProtocolException that is fatal, if its length is not allowed
   */
  public @Nullable ByteBuf nextStartupMessage() throws ProtocolException {
    return cutMessage(NO_TYPE_BYTES);
  }

  /**
   * The next message, once it is complete. Its type is in {@link #type}.
   *
   * @return a slice of the whole message whose reader index is at the body; not retained: valid
   *     until the reader is fed, emptied or closed
   * @throws ProtocolException that is fatal, if its type is unknown or its length not allowed
   */
  public @Nullable ByteBuf nextMessage() throws ProtocolException {
    return cutMessage(TYPE_BYTES);
  }

  /** The type of the message that was returned last. */
  public char type() {
    return (char) type;
  }

  private @Nullable ByteBuf cutMessage(int typeBytes) throws ProtocolException {
    ByteBuf unread = buffer;
    if (unread == null || !unread.isReadable()) {
      return null;
    }
    int available = unread.readableBytes();
    int start = unread.readerIndex();
    int nextType =
        typeBytes == NO_TYPE_BYTES ? MessageLimits.STARTUP_TYPE : unread.getUnsignedByte(start);
    int maxLength = maxLengthOfType.applyAsInt(nextType);
    if (maxLength < LENGTH_FIELD_BYTES) {
      // Rejected by its first byte: the length that it claims may never arrive.
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
    scannedBytes = Math.max(0, scannedBytes - typeBytes - length);
    ByteBuf message = unread.readSlice(typeBytes + length);
    return message.skipBytes(typeBytes + LENGTH_FIELD_BYTES);
  }

  /**
   * Whether a message of that type begins among the unread bytes, behind any number of others. Each
   * message is scanned once, however often this is called.
   */
  public boolean hasMessageAhead(char wantedType) {
    ByteBuf unread = buffer;
    while (unread != null && unread.readableBytes() - scannedBytes > LENGTH_FIELD_BYTES) {
      int offset = unread.readerIndex() + scannedBytes;
      int foundType = unread.getUnsignedByte(offset);
      int length = unread.getInt(offset + TYPE_BYTES);
      if (foundType == wantedType) {
        return true;
      }
      if (length < LENGTH_FIELD_BYTES
          || length > maxLengthOfType.applyAsInt(foundType)
          || TYPE_BYTES + length > unread.readableBytes() - scannedBytes) {
        return false;
      }
      scannedBytes += TYPE_BYTES + length;
    }
    return false;
  }

  /** Bytes that were fed and are not part of a message that was returned. */
  public int unreadBytes() {
    return buffer == null ? 0 : buffer.readableBytes();
  }

  /** Releases the buffer if nothing in it is unread; call it before waiting for more input. */
  public void releaseIfEmpty() {
    if (buffer != null && !buffer.isReadable()) {
      close();
    }
  }

  /** Drops all unread bytes and releases the buffer; input may still be fed. */
  public void close() {
    if (buffer != null) {
      buffer.release();
      buffer = null;
      scannedBytes = 0;
    }
  }
}
