package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushwood.api.GroupId;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestId;
import rushwood.api.SessionId;
import rushwood.dispatch.Statement;

/** A client's statement and the comment at its end; passed on unchanged but for the time in it. */
public final class SqlStatement implements Statement {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int MAX_ID_LENGTH = 128; // bytes; longer than any id in use, short in memory

  private static final int MAX_FIELD_LENGTH = 256;
  private static final int MAX_KEY_LENGTH =
      256; // bytes: no key in use is near, and sessions are remembered by it
  private static final long MAX_TIMEOUT_MILLIS =
      3_600_000; // ms: hosts and clients give up long before an hour
  private static final byte[] READ_PREFIX = bytes("SELECT val FROM state WHERE uid = '");
  private static final byte[] READ_COMMENT_START = bytes("' /* ");
  private static final byte[] WRITE_PREFIX = bytes("INSERT INTO state (uid, val) VALUES ('");
  private static final byte[] WRITE_VALUE_START = bytes("', '\\x");
  private static final byte[] WRITE_COMMENT_START = bytes("') RETURNING val /* ");
  private static final byte[] COMMENT_END = bytes(" */");
  private static final byte[] COMMA = bytes(",");
  private static final byte[] EQUALS = bytes("=");
  private static final ByteProcessor KEY_CHARACTERS =
      each -> each > ' ' && each < 127 && each != '\'' && each != '\\';
  private static final ByteProcessor HEX_DIGITS =
      each ->
          each >= '0' && each <= '9' || each >= 'a' && each <= 'f' || each >= 'A' && each <= 'F';
  private static final ByteProcessor FIELD_CHARACTERS =
      each -> each > ' ' && each < 127 && "'\"*/=,;\\".indexOf(each) < 0;

  private final ByteBuf text;
  private final Map<String, String> fields = new HashMap<>();
  private int offset;
  private int timeoutStart;
  private int timeoutEnd;
  private final boolean write;
  private final SessionId key;
  private final RequestClass requestClass;
  private final GroupId group;
  private final long timeoutNanos;
  private final long lastWriteAt;

  /**
   * Reads the text of a Query message without its closing zero, which it retains if all is well.
   * The form is checked to the byte: a host closes on what it cannot read, and would pass for a
   * sick one.
   */
  public SqlStatement(ByteBuf text, List<RequestClass> requestClasses) throws ProtocolException {
    this.text = text;
    offset = text.readerIndex();
    write = skipIfNext(WRITE_PREFIX);
    if (!write && !skipIfNext(READ_PREFIX)) {
      throw new ProtocolException("42601", "neither of the statements that are served", false);
    }
    key = new SessionId(readToken(KEY_CHARACTERS, MAX_KEY_LENGTH, "the key"));
    if (write) {
      require(WRITE_VALUE_START);
      int from = offset;
      int end = text.forEachByte(offset, text.writerIndex() - offset, HEX_DIGITS);
      offset = end < 0 ? text.writerIndex() : end;
      if ((offset - from) % 2 != 0) {
        throw new ProtocolException("42601", "half a byte in the value", false);
      }
    }
    require(write ? WRITE_COMMENT_START : READ_COMMENT_START);
    do {
      readField();
    } while (skipIfNext(COMMA));
    require(COMMENT_END);
    if (offset != text.writerIndex()) {
      throw new ProtocolException("42601", "the comment does not end the statement", false);
    }
    requestClass = requestClass(requestClasses);
    if (write != requestClass.isWrite()) {
      throw invalidField("c", "does not go with the statement");
    }
    if (require("id").length() > MAX_ID_LENGTH) {
      throw invalidField("id", "is too long");
    }
    group =
        new GroupId(
            fields.containsKey("cluster") ? (int) parseNumber("cluster", Integer.MAX_VALUE) : -1);
    timeoutNanos = parseNumber("d", MAX_TIMEOUT_MILLIS) * NANOS_PER_MILLI;
    if (timeoutNanos == 0) {
      throw invalidField("d", "leaves no time");
    }
    lastWriteAt =
        fields.containsKey("after")
            ? parseNumber("after", Long.MAX_VALUE / NANOS_PER_MILLI) * NANOS_PER_MILLI
            : 0;
    text.retain();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /** Goes on behind these bytes, if they come next. */
  private boolean skipIfNext(byte[] next) {
    boolean matches = text.writerIndex() - offset >= next.length;
    for (int i = 0; matches && i < next.length; i++) {
      matches = text.getByte(offset + i) == next[i];
    }
    offset += matches ? next.length : 0;
    return matches;
  }

  private void require(byte[] next) throws ProtocolException {
    if (!skipIfNext(next)) {
      throw new ProtocolException(
          "42601",
          "not in the form that is served, at byte " + (offset - text.readerIndex()),
          false);
    }
  }

  /** What comes next of such bytes: some, and not too many. */
  private String readToken(ByteProcessor allowed, int maxLength, String what)
      throws ProtocolException {
    int end = text.forEachByte(offset, text.writerIndex() - offset, allowed);
    int length = (end < 0 ? text.writerIndex() : end) - offset;
    if (length == 0 || length > maxLength) {
      throw new ProtocolException("42601", what + " has " + length + " bytes", false);
    }
    offset += length;
    return text.toString(offset - length, length, StandardCharsets.US_ASCII);
  }

  private void readField() throws ProtocolException {
    String name = readToken(FIELD_CHARACTERS, MAX_FIELD_LENGTH, "a field's name");
    require(EQUALS);
    int from = offset;
    if (fields.put(name, readToken(FIELD_CHARACTERS, MAX_FIELD_LENGTH, "the field " + name))
        != null) {
      throw new ProtocolException("42601", "the field " + name + " stands twice", false);
    }
    if (name.equals("d")) {
      timeoutStart = from;
      timeoutEnd = offset;
    }
  }

  private RequestClass requestClass(List<RequestClass> requestClasses) throws ProtocolException {
    RequestClass requestClass = RequestClass.findByName(requestClasses, require("c"));
    if (requestClass == null) {
      throw invalidField("c", "names no product");
    }
    return requestClass;
  }

  private String require(String field) throws ProtocolException {
    String value = fields.get(field);
    if (value == null) {
      throw new ProtocolException("42601", "the field " + field + " is missing", false);
    }
    return value;
  }

  private static ProtocolException invalidField(String field, String why) {
    return new ProtocolException("22023", "the field " + field + " " + why, false);
  }

  private long parseNumber(String field, long max) throws ProtocolException {
    try {
      long value = Long.parseLong(require(field));
      if (value >= 0 && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      // told below
    }
    throw invalidField(field, "is no such number");
  }

  /**
   * The same for every try: FNV-1a over key and product, never 0. Spread by whoever indexes with
   * it.
   */
  private long fingerprint() {
    long hash = 0xcbf29ce484222325L ^ requestClass.index();
    for (int i = 0; i < key.value().length(); i++) {
      hash = (hash ^ key.value().charAt(i)) * 0x100000001b3L;
    }
    return hash == 0 ? 1 : hash;
  }

  public RequestId id() {
    return new RequestId(fields.get("id"));
  }

  public GroupId group() {
    return group;
  }

  @Override
  public Request toRequest(long now, long cameAt, long last) {
    boolean inSession =
        write || requestClass.consistency() == RequestClass.Consistency.READ_YOUR_WRITES;
    long sinceWrite = lastWriteAt == 0 ? 0 : Math.max(1, now - lastWriteAt);
    return new Request(
        id(),
        requestClass,
        inSession ? key : null,
        group,
        Math.min(cameAt + timeoutNanos, last),
        sinceWrite,
        fingerprint(),
        0);
  }

  @Override
  public ByteBuf toMessage(long millis) {
    String timeout = Long.toString(millis);
    int start = text.readerIndex();
    int length = text.readableBytes() - (timeoutEnd - timeoutStart) + timeout.length() + 1;
    ByteBuf head = text.alloc().buffer(5).writeByte('Q').writeInt(4 + length);
    ByteBuf tail =
        text.alloc()
            .buffer(timeout.length())
            .writeBytes(timeout.getBytes(StandardCharsets.US_ASCII));
    return Unpooled.wrappedBuffer(
        head,
        text.retainedSlice(start, timeoutStart - start),
        tail,
        text.retainedSlice(timeoutEnd, text.writerIndex() - timeoutEnd),
        Unpooled.wrappedBuffer(new byte[1]));
  }

  @Override
  public void release() {
    text.release();
  }
}
