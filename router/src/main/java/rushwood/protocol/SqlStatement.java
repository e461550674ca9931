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
 * A client's statement, as {@link SqlStatementParser} reads it. It is passed on to hosts unchanged
 * but for the timeout in its comment.
 *
 * @param text the statement without its closing zero; retained until {@link #release}
 * @param isWrite whether it is the INSERT that is served, not the SELECT
 * @param key the key that is read or written, by which sessions are told apart
 * @param group the group of hosts that it is for
 * @param lastWriteAt Unix time in nanoseconds of the session's last write as the client knows it, 0
 *     for none
 */
public record SqlStatement(
    ByteBuf text,
    boolean isWrite,
    SessionId key,
    RequestId id,
    RequestClass requestClass,
    GroupId group,
    Timeout timeout,
    long lastWriteAt)
    implements Statement {

  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final int TYPE_BYTES = 1;
  private static final int LENGTH_BYTES = 4;
  private static final int ZERO_BYTES = 1;

  /** How long the client waits, and where in the text's buffer that number stands. */
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
        sinceLastWrite(now),
        fingerprint(),
        0);
  }

  /** Nanoseconds, at least 1 as 0 stands for no write. */
  private long sinceLastWrite(long now) {
    return lastWriteAt == 0 ? 0 : Math.max(1, now - lastWriteAt);
  }

  /**
   * The same for each try of a request by its client, never 0: FNV-1a over key and request class.
   * Its bits are not spread well; whoever uses it as an index mixes it first.
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
    int length = text.readableBytes() - timeout.length() + digits.length + ZERO_BYTES;
    ByteBuf head =
        text.alloc()
            .buffer(TYPE_BYTES + LENGTH_BYTES)
            .writeByte(FrontendMessageType.QUERY)
            .writeInt(LENGTH_BYTES + length);
    return Unpooled.wrappedBuffer(
        head,
        text.retainedSlice(start, timeout.startIndex() - start),
        text.alloc().buffer(digits.length).writeBytes(digits),
        text.retainedSlice(timeout.endIndex(), text.writerIndex() - timeout.endIndex()),
        Unpooled.wrappedBuffer(new byte[ZERO_BYTES]));
  }

  @Override
  public void release() {
    text.release();
  }
}
