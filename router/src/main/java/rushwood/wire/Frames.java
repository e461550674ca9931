package rushwood.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.function.IntUnaryOperator;

/**
 * Cuts what is read into messages: slices of the buffer that they came in, joined only where one is
 * cut.
 */
final class Frames {
  private static final int LENGTH = 4;

  private final ByteBufAllocator allocator;
  private final IntUnaryOperator longest;
  private ByteBuf read;
  private int type;
  private int looked; // bytes of what waits that were looked through

  /**
   * With the most that the length of a message of a type may say; 0 for types that are not spoken.
   */
  Frames(ByteBufAllocator allocator, IntUnaryOperator longest) {
    this.allocator = allocator;
    this.longest = longest;
  }

  /** Takes the buffer over. */
  void feed(ByteBuf in) {
    if (read == null) {
      read = in;
    } else {
      read = ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(allocator, read, in);
    }
  }

  /** The first message of a client, which has no type; null if it is not all here. */
  ByteBuf untyped() throws Fault {
    return next(0);
  }

  /**
   * The next message with its type and length, of which {@link #type} tells; null if not all here.
   */
  ByteBuf typed() throws Fault {
    return next(1);
  }

  char type() {
    return (char) type;
  }

  private ByteBuf next(int before) throws Fault {
    int there = waiting();
    if (there == 0) {
      return null;
    }
    int start = read.readerIndex();
    int next = before == 0 ? 0 : read.getUnsignedByte(start);
    int most = longest.applyAsInt(next);
    if (most < LENGTH) {
      throw Fault.lost("a message of unknown type"); // told at once: its length may never be full
    }
    if (there < before + LENGTH) {
      return null;
    }
    int length = read.getInt(start + before);
    if (length < LENGTH || length > most) {
      throw Fault.lost("a message of " + length + " bytes");
    }
    if (there < before + length) {
      return null;
    }
    type = next;
    looked = Math.max(0, looked - before - length);
    ByteBuf message = read.readSlice(before + length);
    return message.skipBytes(before + LENGTH);
  }

  /**
   * Whether the head of a message of that type waits, behind whatever else; each message is looked
   * at once.
   */
  boolean isAhead(char wanted) {
    while (waiting() - looked > LENGTH) {
      int at = read.readerIndex() + looked;
      int found = read.getUnsignedByte(at);
      int length = read.getInt(at + 1);
      if (found == wanted) {
        return true;
      }
      if (length < LENGTH
          || length > longest.applyAsInt(found)
          || 1 + length > waiting() - looked) {
        return false;
      }
      looked += 1 + length;
    }
    return false;
  }

  /** Bytes that were read and not yet taken. */
  int waiting() {
    return read == null ? 0 : read.readableBytes();
  }

  /** Lets go of a buffer of which nothing is left, as before waiting for more. */
  void trim() {
    if (read != null && !read.isReadable()) {
      close();
    }
  }

  void close() {
    if (read != null) {
      read.release();
      read = null;
      looked = 0;
    }
  }
}
