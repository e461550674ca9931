package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import rushwood.api.GroupId;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestId;
import rushwood.api.SessionId;
import rushwood.dispatch.Statement;

/**
 * A statement of a client, as parsed by {@link SqlStatementParser}. It is sent to hosts unchanged
 * except for the timeout in its comment.
 *
 * @param text the statement without its terminator; retained until {@link #release}
 * @param isWrite whether the statement is a write (INSERT) rather than a read (SELECT)
 * @param key the key that is read or written, which also identifies the session
 * @param id the request id
 * @param requestClass the request class, which matches {@code isWrite}
 * @param group the group of hosts that the statement is for, or {@link GroupId#UNKNOWN} if the
 *     client does not name it
 * @param timeout how long the client waits for the response
 * @param lastWriteUnixNanos when the last write of the session was committed, as reported by the
 *     client, as Unix time in nanoseconds; 0 if the client reports none
 */
public record SqlStatement(
    ByteBuf text,
    boolean isWrite,
    SessionId key,
    RequestId id,
    RequestClass requestClass,
    GroupId group,
    Timeout timeout,
    long lastWriteUnixNanos)
    implements Statement {

  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final int TYPE_BYTES = 1;
  private static final int LENGTH_BYTES = 4;
  private static final int TERMINATOR_BYTES = 1;

  /**
   * How long the client waits for the response.
   *
   * @param nanos the timeout in nanoseconds
   * @param startIndex the index of the first digit of the timeout in the buffer of the text
   * @param endIndex the index after the last digit of the timeout in the buffer of the text
   */
  record Timeout(long nanos, int startIndex, int endIndex) {
    int length() {
      return endIndex - startIndex;
    }
  }

  @Override
  public Request toRequest(long now, long earliestArrival, long latestDeadline) {
    boolean inSession =
        isWrite || requestClass.consistency() == RequestClass.Consistency.READ_YOUR_WRITES;
    return new Request(
        id,
        requestClass,
        inSession ? key : null,
        group,
        Math.min(earliestArrival + timeout.nanos(), latestDeadline),
        sinceLastWriteNanos(now),
        fingerprint(),
        0);
  }

  /**
   * Returns the nanoseconds since the last write of the session, or 0 if the client reports none.
   * At least 1 if it reports one.
   */
  private long sinceLastWriteNanos(long now) {
    return lastWriteUnixNanos == 0 ? 0 : Math.max(1, now - lastWriteUnixNanos);
  }

  /**
   * Returns a hash (FNV-1a) of the request class and the key. It is the same for each retry of a
   * request by its client, and never 0. Its bits are not well distributed, so callers that derive
   * an index from it must mix them first.
   */
  private long fingerprint() {
    long hash = FNV_OFFSET_BASIS ^ requestClass.index();
    for (int i = 0; i < key.value().length(); i++) {
      hash = (hash ^ key.value().charAt(i)) * FNV_PRIME;
    }
    return hash == 0 ? 1 : hash;
  }

  @Override
  public ByteBuf toMessage(long timeoutMillis) {
    byte[] digits = Long.toString(timeoutMillis).getBytes(StandardCharsets.US_ASCII);
    int start = text.readerIndex();
    int length = text.readableBytes() - timeout.length() + digits.length + TERMINATOR_BYTES;
    // All parts are direct buffers: a channel would copy the whole statement into one otherwise.
    ByteBuf header =
        text.alloc()
            .directBuffer(TYPE_BYTES + LENGTH_BYTES)
            .writeByte(FrontendMessageType.QUERY)
            .writeInt(LENGTH_BYTES + length);
    return Unpooled.wrappedBuffer(
        header,
        text.retainedSlice(start, timeout.startIndex() - start),
        text.alloc().directBuffer(digits.length).writeBytes(digits),
        text.retainedSlice(timeout.endIndex(), text.writerIndex() - timeout.endIndex()),
        text.alloc().directBuffer(TERMINATOR_BYTES).writeZero(TERMINATOR_BYTES));
  }

  @Override
  public void release() {
    text.release();
  }
}
