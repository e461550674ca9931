package rushwood.wire;

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
final class SqlStatement implements Statement {
  private static final long MS = 1_000_000L;
  private static final int LONGEST_ID = 128; // bytes; longer than any id in use, short in memory

  private static final int LONGEST_FIELD = 256;
  private static final int LONGEST_KEY =
      256; // bytes: no key in use is near, and sessions are remembered by it
  private static final long LONGEST_WAIT =
      3_600_000; // ms: hosts and clients give up long before an hour
  private static final byte[] READ = bytes("SELECT val FROM state WHERE uid = '");
  private static final byte[] READ_ON = bytes("' /* ");
  private static final byte[] WRITE = bytes("INSERT INTO state (uid, val) VALUES ('");
  private static final byte[] WRITE_VALUE = bytes("', '\\x");
  private static final byte[] WRITE_ON = bytes("') RETURNING val /* ");
  private static final byte[] END = bytes(" */");
  private static final byte[] COMMA = bytes(",");
  private static final byte[] EQUALS = bytes("=");
  private static final ByteProcessor KEY =
      each -> each > ' ' && each < 127 && each != '\'' && each != '\\';
  private static final ByteProcessor HEX =
      each ->
          each >= '0' && each <= '9' || each >= 'a' && each <= 'f' || each >= 'A' && each <= 'F';
  private static final ByteProcessor FIELD =
      each -> each > ' ' && each < 127 && "'\"*/=,;\\".indexOf(each) < 0;

  private final ByteBuf text;
  private final Map<String, String> fields = new HashMap<>();
  private int at;
  private int timeFrom;
  private int timeTo;
  private final boolean write;
  private final SessionId key;
  private final RequestClass product;
  private final GroupId group;
  private final long waits;
  private final long after;

  /**
   * Reads the text of a Query message without its closing zero, which it retains if all is well.
   * The form is checked to the byte: a host closes on what it cannot read, and would pass for a
   * sick one.
   */
  SqlStatement(ByteBuf text, List<RequestClass> products) throws Fault {
    this.text = text;
    at = text.readerIndex();
    write = take(WRITE);
    if (!write && !take(READ)) {
      throw new Fault("42601", "neither of the statements that are served", false);
    }
    key = new SessionId(run(KEY, LONGEST_KEY, "the key"));
    if (write) {
      need(WRITE_VALUE);
      int from = at;
      int end = text.forEachByte(at, text.writerIndex() - at, HEX);
      at = end < 0 ? text.writerIndex() : end;
      if ((at - from) % 2 != 0) {
        throw new Fault("42601", "half a byte in the value", false);
      }
    }
    need(write ? WRITE_ON : READ_ON);
    do {
      readField();
    } while (take(COMMA));
    need(END);
    if (at != text.writerIndex()) {
      throw new Fault("42601", "the comment does not end the statement", false);
    }
    product = product(products);
    if (write != (product.consistency() == RequestClass.Consistency.WRITE)) {
      throw impossible("c", "does not go with the statement");
    }
    if (need("id").length() > LONGEST_ID) {
      throw impossible("id", "is too long");
    }
    group =
        new GroupId(
            fields.containsKey("cluster") ? (int) number("cluster", Integer.MAX_VALUE) : -1);
    waits = number("d", LONGEST_WAIT) * MS;
    if (waits == 0) {
      throw impossible("d", "leaves no time");
    }
    after = fields.containsKey("after") ? number("after", Long.MAX_VALUE / MS) * MS : 0;
    text.retain();
  }

  private static byte[] bytes(String of) {
    return of.getBytes(StandardCharsets.US_ASCII);
  }

  /** Goes on behind these bytes, if they come next. */
  private boolean take(byte[] next) {
    boolean is = text.writerIndex() - at >= next.length;
    for (int i = 0; is && i < next.length; i++) {
      is = text.getByte(at + i) == next[i];
    }
    at += is ? next.length : 0;
    return is;
  }

  private void need(byte[] next) throws Fault {
    if (!take(next)) {
      throw new Fault(
          "42601", "not in the form that is served, at byte " + (at - text.readerIndex()), false);
    }
  }

  /** What comes next of such bytes: some, and not too many. */
  private String run(ByteProcessor of, int most, String what) throws Fault {
    int end = text.forEachByte(at, text.writerIndex() - at, of);
    int length = (end < 0 ? text.writerIndex() : end) - at;
    if (length == 0 || length > most) {
      throw new Fault("42601", what + " has " + length + " bytes", false);
    }
    at += length;
    return text.toString(at - length, length, StandardCharsets.US_ASCII);
  }

  private void readField() throws Fault {
    String name = run(FIELD, LONGEST_FIELD, "a field's name");
    need(EQUALS);
    int from = at;
    if (fields.put(name, run(FIELD, LONGEST_FIELD, "the field " + name)) != null) {
      throw new Fault("42601", "the field " + name + " stands twice", false);
    }
    if (name.equals("d")) {
      timeFrom = from;
      timeTo = at;
    }
  }

  private RequestClass product(List<RequestClass> products) throws Fault {
    RequestClass product = RequestClass.findByName(products, need("c"));
    if (product == null) {
      throw impossible("c", "names no product");
    }
    return product;
  }

  private String need(String field) throws Fault {
    String value = fields.get(field);
    if (value == null) {
      throw new Fault("42601", "the field " + field + " is missing", false);
    }
    return value;
  }

  private static Fault impossible(String field, String why) {
    return new Fault("22023", "the field " + field + " " + why, false);
  }

  private long number(String field, long most) throws Fault {
    try {
      long value = Long.parseLong(need(field));
      if (value >= 0 && value <= most) {
        return value;
      }
    } catch (NumberFormatException e) {
      // told below
    }
    throw impossible(field, "is no such number");
  }

  /**
   * The same for every try: FNV-1a over key and product, never 0. Spread by whoever indexes with
   * it.
   */
  private long mark() {
    long hash = 0xcbf29ce484222325L ^ product.index();
    for (int i = 0; i < key.value().length(); i++) {
      hash = (hash ^ key.value().charAt(i)) * 0x100000001b3L;
    }
    return hash == 0 ? 1 : hash;
  }

  RequestId id() {
    return new RequestId(fields.get("id"));
  }

  GroupId group() {
    return group;
  }

  @Override
  public Request toRequest(long now, long cameAt, long last) {
    boolean session = write || product.consistency() == RequestClass.Consistency.READ_YOUR_WRITES;
    long sinceWrite = after == 0 ? 0 : Math.max(1, now - after);
    return new Request(
        id(),
        product,
        session ? key : null,
        group,
        Math.min(cameAt + waits, last),
        sinceWrite,
        mark(),
        0);
  }

  @Override
  public ByteBuf toMessage(long millis) {
    String time = Long.toString(millis);
    int from = text.readerIndex();
    int length = text.readableBytes() - (timeTo - timeFrom) + time.length() + 1;
    ByteBuf head = text.alloc().buffer(5).writeByte('Q').writeInt(4 + length);
    ByteBuf tail =
        text.alloc().buffer(time.length()).writeBytes(time.getBytes(StandardCharsets.US_ASCII));
    return Unpooled.wrappedBuffer(
        head,
        text.retainedSlice(from, timeFrom - from),
        tail,
        text.retainedSlice(timeTo, text.writerIndex() - timeTo),
        Unpooled.wrappedBuffer(new byte[1]));
  }

  @Override
  public void release() {
    text.release();
  }
}
