package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * The messages of one client that were not processed yet. Input is split into messages as it
 * arrives, and copied into buffers of the {@link StatementMemory}, so that no buffer is larger than
 * what it is used for.
 *
 * <p>The length of a message is known once its header has arrived. A query for which there is no
 * room then, or whose stored part is discarded later, is skipped as it arrives. Only the fact that
 * it was refused is stored, in its place among the other messages, so that each message can be
 * answered in its turn. The body of a message that is not supported is always skipped.
 *
 * <p>Stored messages have a type byte, a length field and a body, startup messages too. A negative
 * length field is the number of consecutive queries that were refused.
 */
final class FrontendMessageQueue implements StatementMemory.IncompleteMessage {
  private static final int TYPE_BYTES = 1;
  private static final int LENGTH_FIELD_BYTES = 4;
  private static final int HEADER_BYTES = TYPE_BYTES + LENGTH_FIELD_BYTES;

  /** Most requests are shorter; also bounds the number of buffers for very short messages. */
  private static final int MIN_SEGMENT_BYTES = 512;

  /** Limits the unused rest of a segment. */
  private static final int MAX_SHARED_SEGMENT_BYTES = 16 << 10;

  private static final int NO_REFUSAL = -1;

  private final StatementMemory memory;
  private final Deque<ByteBuf> segments = new ArrayDeque<>(); // complete messages only
  private final ByteBuf header = Unpooled.wrappedBuffer(new byte[HEADER_BYTES]);
  private long heldBytes; // capacity of the segments and of the incomplete message
  private long heldForRefusals; // the part of heldBytes that was allocated for refusals
  private int refusalIndex = NO_REFUSAL; // of the last refusal in the last segment
  private boolean isStartingUp = true;
  private boolean isInBody;
  private int missingBytes; // of the body that is arriving
  private @Nullable ByteBuf incomplete; // null if no body is arriving or it is skipped
  private boolean isTerminated;
  private boolean isClosed;
  private int unreadQueries; // complete ones, refused ones included
  private @Nullable ProtocolException violation;

  FrontendMessageQueue(StatementMemory memory) {
    this.memory = memory;
    beginMessage();
  }

  private void beginMessage() {
    isInBody = false;
    header.clear();
    if (isStartingUp) {
      header.writeByte(MessageLimits.STARTUP_TYPE); // such a message has no type byte of its own
    }
  }

  /**
   * Appends input and releases the buffer.
   *
   * @param now clock time in nanoseconds
   */
  void feed(ByteBuf in, long now) {
    try {
      while (in.isReadable() && violation == null && !isClosed) {
        if (isInBody) {
          readBody(in, now);
        } else {
          readHeader(in, now);
        }
      }
    } finally {
      in.release();
    }
  }

  private void readHeader(ByteBuf in, long now) {
    if (!header.isReadable()) {
      header.writeByte(in.readByte());
    }
    int maxLength = MessageLimits.maxClientMessageBytes(type());
    if (maxLength < LENGTH_FIELD_BYTES) {
      // Rejected by the first byte, because the rest of the message may never arrive.
      violation = ProtocolException.protocolViolation("a message of unknown type");
      return;
    }
    in.readBytes(header, Math.min(header.writableBytes(), in.readableBytes()));
    if (header.isWritable()) {
      return;
    }
    int length = header.getInt(TYPE_BYTES);
    if (length < LENGTH_FIELD_BYTES || length > maxLength) {
      violation = ProtocolException.protocolViolation("a message of " + length + " bytes");
      return;
    }
    isTerminated |= type() == FrontendMessageType.TERMINATE;
    beginBody(length - LENGTH_FIELD_BYTES, in, now);
  }

  private char type() {
    return (char) header.getUnsignedByte(0);
  }

  private void beginBody(int bodyBytes, ByteBuf in, long now) {
    isInBody = true;
    missingBytes = bodyBytes;
    if (isBodyNeeded() && in.readableBytes() >= bodyBytes) {
      ByteBuf segment = segmentWithRoom(HEADER_BYTES + bodyBytes, now);
      if (segment != null) {
        segment.writeBytes(header, 0, HEADER_BYTES).writeBytes(in, bodyBytes);
        messageStored(segment);
        return;
      }
    } else if (isBodyNeeded()) {
      incomplete = allocate(Math.max(HEADER_BYTES + bodyBytes, MIN_SEGMENT_BYTES), now);
      if (incomplete != null) {
        incomplete.writeBytes(header, 0, HEADER_BYTES);
      }
    }
    readBody(in, now);
  }

  private boolean isBodyNeeded() {
    return type() == FrontendMessageType.QUERY || type() == MessageLimits.STARTUP_TYPE;
  }

  private void readBody(ByteBuf in, long now) {
    int arrived = Math.min(missingBytes, in.readableBytes());
    missingBytes -= arrived;
    if (incomplete == null) {
      in.skipBytes(arrived);
    } else {
      incomplete.writeBytes(in, arrived);
      memory.messageGrew(this, now);
    }
    if (missingBytes == 0) {
      finishBody(now);
    }
  }

  private void finishBody(long now) {
    ByteBuf complete = incomplete;
    if (complete != null) {
      memory.messageEnded(this);
      incomplete = null;
      messageStored(moveToSegments(complete));
      return;
    }
    if (type() == FrontendMessageType.QUERY) {
      storeRefusal(now);
    } else if (type() == MessageLimits.STARTUP_TYPE) {
      violation = memoryShort();
    } else {
      storeEmptyMessage(now);
    }
    beginMessage();
  }

  private static ProtocolException memoryShort() {
    return ProtocolException.fatal(SqlState.TOO_MANY_CONNECTIONS, "memory is short");
  }

  /** Appends a complete message to the last segment if it has room, else as a segment. */
  private ByteBuf moveToSegments(ByteBuf message) {
    ByteBuf last = segments.peekLast();
    if (last == null || last.writableBytes() < message.readableBytes()) {
      addSegment(message);
      return message;
    }
    last.writeBytes(message);
    release(message);
    return last;
  }

  /** Completes the current message, which is now the last one of the segment. */
  private void messageStored(ByteBuf segment) {
    if (type() == FrontendMessageType.QUERY) {
      unreadQueries++;
    }
    if (isStartingUp) {
      int bodyBytes = header.getInt(TYPE_BYTES) - LENGTH_FIELD_BYTES;
      ByteBuf body = segment.slice(segment.writerIndex() - bodyBytes, bodyBytes);
      isStartingUp = StartupHandshake.isFollowedByAnother(body);
    }
    beginMessage();
  }

  /** Stores that a query was refused, together with refusals right before it. */
  private void storeRefusal(long now) {
    ByteBuf last = segments.peekLast();
    if (last != null && isLastMessageRefused(last)) {
      int lengthIndex = refusalIndex + TYPE_BYTES;
      last.setInt(lengthIndex, last.getInt(lengthIndex) - 1);
      unreadQueries++;
      return;
    }
    ByteBuf segment = segmentForHeader(now);
    if (segment != null) {
      unreadQueries++;
      refusalIndex = segment.writerIndex();
      segment.writeByte(FrontendMessageType.QUERY).writeInt(-1);
    }
  }

  private boolean isLastMessageRefused(ByteBuf last) {
    return refusalIndex >= last.readerIndex() && refusalIndex + HEADER_BYTES == last.writerIndex();
  }

  private void storeEmptyMessage(long now) {
    ByteBuf segment = segmentForHeader(now);
    if (segment != null) {
      segment.writeByte(type()).writeInt(LENGTH_FIELD_BYTES);
    }
  }

  /**
   * Returns a segment with room for a header. If the client may have none, its input ends here with
   * an error, and null is returned.
   */
  private @Nullable ByteBuf segmentForHeader(long now) {
    ByteBuf segment = segmentWithRoom(HEADER_BYTES, now);
    if (segment == null) {
      segment = memory.allocateForRefusals(MIN_SEGMENT_BYTES, heldForRefusals);
      if (segment == null) {
        violation = memoryShort();
      } else {
        heldBytes += segment.capacity();
        heldForRefusals += segment.capacity();
        addSegment(segment);
      }
    }
    return segment;
  }

  /** Returns the last segment if it has room, else a new one, or null if there is no memory. */
  private @Nullable ByteBuf segmentWithRoom(int bytes, long now) {
    ByteBuf last = segments.peekLast();
    if (last != null && last.writableBytes() >= bytes) {
      return last;
    }
    int shared =
        last == null ? MIN_SEGMENT_BYTES : Math.min(2 * last.capacity(), MAX_SHARED_SEGMENT_BYTES);
    ByteBuf segment = allocate(Math.max(bytes, shared), now);
    if (segment != null) {
      addSegment(segment);
    }
    return segment;
  }

  private @Nullable ByteBuf allocate(int capacity, long now) {
    ByteBuf allocated = memory.allocate(capacity, heldBytes, now);
    heldBytes += allocated == null ? 0 : capacity;
    return allocated;
  }

  private void addSegment(ByteBuf segment) {
    segments.add(segment);
    refusalIndex = NO_REFUSAL;
  }

  private void release(ByteBuf buffer) {
    heldBytes -= buffer.capacity();
    if (memory.isForRefusals(buffer)) {
      heldForRefusals -= buffer.capacity();
    }
    buffer.release();
  }

  @Override
  public void discard() {
    ByteBuf discarded = incomplete;
    incomplete = null;
    if (discarded != null) {
      release(discarded);
    }
  }

  /**
   * Reads the next message.
   *
   * @return null if no complete message is stored
   * @throws ProtocolException (fatal) if input was malformed, or memory was too short even to
   *     record refusals, and all messages before were read
   */
  @Nullable FrontendMessage next() throws ProtocolException {
    releaseReadSegments();
    ByteBuf segment = segments.peekFirst();
    if (segment == null) {
      if (violation != null) {
        throw violation;
      }
      return null;
    }
    int start = segment.readerIndex();
    char type = (char) segment.getUnsignedByte(start);
    int length = segment.getInt(start + TYPE_BYTES);
    if (type == FrontendMessageType.QUERY) {
      unreadQueries--;
    }
    if (length < 0) {
      return nextRefusal(segment, length + 1);
    }
    segment.skipBytes(HEADER_BYTES);
    return new FrontendMessage(type, segment.readSlice(length - LENGTH_FIELD_BYTES), false);
  }

  private static FrontendMessage nextRefusal(ByteBuf segment, int negatedRemaining) {
    if (negatedRemaining == 0) {
      segment.skipBytes(HEADER_BYTES);
    } else {
      segment.setInt(segment.readerIndex() + TYPE_BYTES, negatedRemaining);
    }
    return new FrontendMessage(FrontendMessageType.QUERY, Unpooled.EMPTY_BUFFER, true);
  }

  /** Releases what was read. The last message that was read must not be used any more. */
  void releaseReadSegments() {
    for (ByteBuf first = segments.peekFirst();
        first != null && !first.isReadable();
        first = segments.peekFirst()) {
      segments.remove();
      release(first);
    }
  }

  /** Returns whether there are messages that were not read, or a part of a message. */
  boolean hasUnread() {
    ByteBuf last = segments.peekLast();
    return isInBody
        || header.writerIndex() > (isStartingUp ? TYPE_BYTES : 0)
        || violation != null
        || (last != null && last.isReadable());
  }

  /** Returns the number of complete queries that were not read, refused ones included. */
  int unreadQueries() {
    return unreadQueries;
  }

  /** Returns whether a Terminate message has arrived, read or not. */
  boolean isTerminated() {
    return isTerminated;
  }

  /** Releases all input. Input that is fed from now on is dropped. */
  void close() {
    isClosed = true;
    violation = null;
    unreadQueries = 0;
    memory.messageEnded(this);
    discard();
    segments.forEach(this::release);
    segments.clear();
    beginMessage();
  }
}
