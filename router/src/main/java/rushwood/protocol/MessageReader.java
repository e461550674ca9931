package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.function.IntUnaryOperator;

/**
 * Cuts what is read into messages: slices of the buffer that they came in, joined only where one is
 * cut.
 */
public final class MessageReader {
  private static final int LENGTH_FIELD_BYTES = 4;

  private final ByteBufAllocator allocator;
  private final IntUnaryOperator maxLengthOfType;
  private ByteBuf buffer;
  private int type;
  private int scannedBytes; // bytes of what waits that were looked through

  /**
   * With the most that the length of a message of a type may say; 0 for types that are not spoken.
   */
  public MessageReader(ByteBufAllocator allocator, IntUnaryOperator maxLengthOfType) {
    this.allocator = allocator;
    this.maxLengthOfType = maxLengthOfType;
  }

  /** Takes the buffer over. */
  public void feed(ByteBuf in) {
    if (buffer == null) {
      buffer = in;
    } else {
      buffer = ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(allocator, buffer, in);
    }
  }

  /** The first message of a client, which has no type; null if it is not all here. */
  public ByteBuf nextStartupMessage() throws ProtocolException {
    return cutMessage(0);
  }

  /**
   * The next message with its type and length, of which {@link #type} tells; null if not all here.
   */
  public ByteBuf nextMessage() throws ProtocolException {
    return cutMessage(1);
  }

  public char type() {
    return (char) type;
  }

  private ByteBuf cutMessage(int typeBytes) throws ProtocolException {
    int available = unreadBytes();
    if (available == 0) {
      return null;
    }
    int start = buffer.readerIndex();
    int nextType = typeBytes == 0 ? 0 : buffer.getUnsignedByte(start);
    int maxLength = maxLengthOfType.applyAsInt(nextType);
    if (maxLength < LENGTH_FIELD_BYTES) {
      throw ProtocolException.protocolViolation(
          "a message of unknown type"); // told at once: its length may never be full
    }
    if (available < typeBytes + LENGTH_FIELD_BYTES) {
      return null;
    }
    int length = buffer.getInt(start + typeBytes);
    if (length < LENGTH_FIELD_BYTES || length > maxLength) {
      throw ProtocolException.protocolViolation("a message of " + length + " bytes");
    }
    if (available < typeBytes + length) {
      return null;
    }
    type = nextType;
    scannedBytes = Math.max(0, scannedBytes - typeBytes - length);
    ByteBuf message = buffer.readSlice(typeBytes + length);
    return message.skipBytes(typeBytes + LENGTH_FIELD_BYTES);
  }

  /**
   * Whether the head of a message of that type waits, behind whatever else; each message is looked
   * at once.
   */
  public boolean hasMessageAhead(char wantedType) {
    while (unreadBytes() - scannedBytes > LENGTH_FIELD_BYTES) {
      int offset = buffer.readerIndex() + scannedBytes;
      int foundType = buffer.getUnsignedByte(offset);
      int length = buffer.getInt(offset + 1);
      if (foundType == wantedType) {
        return true;
      }
      if (length < LENGTH_FIELD_BYTES
          || length > maxLengthOfType.applyAsInt(foundType)
          || 1 + length > unreadBytes() - scannedBytes) {
        return false;
      }
      scannedBytes += 1 + length;
    }
    return false;
  }

  /** Bytes that were read and not yet taken. */
  public int unreadBytes() {
    return buffer == null ? 0 : buffer.readableBytes();
  }

  /** Lets go of a buffer of which nothing is left, as before waiting for more. */
  public void releaseIfEmpty() {
    if (buffer != null && !buffer.isReadable()) {
      close();
    }
  }

  public void close() {
    if (buffer != null) {
      buffer.release();
      buffer = null;
      scannedBytes = 0;
    }
  }
}
