package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushwood.api.GroupId;
import rushwood.api.RequestClass;
import rushwood.api.RequestId;
import rushwood.api.SessionId;

/**
 * Parses the two statements that are served, a SELECT and an INSERT of one value with a comment of
 * fields at the end. The form is checked to the byte: a host closes the connection on a statement
 * that it cannot read, and would be taken for unhealthy.
 */
public final class SqlStatementParser {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private static final int MAX_KEY_LENGTH = 256; // far above keys in use; sessions are stored by it
  private static final int MAX_FIELD_LENGTH = 256; // of a name or a value
  private static final int MAX_ID_LENGTH = 128; // above any id in use
  private static final long MAX_TIMEOUT_MILLIS = 3_600_000; // hosts and clients give up far earlier
  private static final long MAX_TIME_MILLIS = Long.MAX_VALUE / NANOS_PER_MILLI;

  private static final byte[] READ_PREFIX = ascii("SELECT val FROM state WHERE uid = '");
  private static final byte[] READ_COMMENT_START = ascii("' /* ");
  private static final byte[] WRITE_PREFIX = ascii("INSERT INTO state (uid, val) VALUES ('");
  private static final byte[] WRITE_VALUE_START = ascii("', '\\x");
  private static final byte[] WRITE_COMMENT_START = ascii("') RETURNING val /* ");
  private static final byte[] COMMENT_END = ascii(" */");
  private static final byte[] COMMA = ascii(",");
  private static final byte[] EQUALS = ascii("=");

  private static final String ID_FIELD = "id";
  private static final String CLASS_FIELD = "c";
  private static final String GROUP_FIELD = "cluster";
  private static final String TIMEOUT_FIELD = "d"; // milliseconds
  private static final String LAST_WRITE_FIELD = "after"; // Unix time in milliseconds

  private static final ByteProcessor KEY_CHARACTERS =
      each -> each > ' ' && each < 127 && each != '\'' && each != '\\';
  private static final ByteProcessor HEX_DIGITS = SqlStatementParser::isHexDigit;
  private static final ByteProcessor FIELD_CHARACTERS =
      each -> each > ' ' && each < 127 && "'\"*/=,;\\".indexOf(each) < 0;

  private final ByteBuf text;
  private final Map<String, String> fields = new HashMap<>();
  private int offset;
  private int timeoutStart;
  private int timeoutEnd;

  private SqlStatementParser(ByteBuf text) {
    this.text = text;
    offset = text.readerIndex();
  }

  /**
   * Parses the text of a Query message without its closing zero. The statement retains the text if
   * there is no error.
   *
   * @throws ProtocolException with {@link SqlState#SYNTAX_ERROR} if the form is wrong or a field is
   *     missing, {@link SqlState#INVALID_PARAMETER_VALUE} if the value of a field is not allowed
   */
  public static SqlStatement parse(ByteBuf text, List<RequestClass> requestClasses)
      throws ProtocolException {
    return new SqlStatementParser(text).parse(requestClasses);
  }

  private SqlStatement parse(List<RequestClass> requestClasses) throws ProtocolException {
    boolean isWrite = skipPrefix();
    SessionId key = new SessionId(readToken(KEY_CHARACTERS, MAX_KEY_LENGTH, "the key"));
    if (isWrite) {
      skipValue();
    }
    readComment(isWrite ? WRITE_COMMENT_START : READ_COMMENT_START);
    RequestClass requestClass = parseRequestClass(requestClasses, isWrite);
    RequestId id = parseId();
    GroupId group = parseGroup();
    SqlStatement.Timeout timeout = parseTimeout();
    long lastWriteAt = parseLastWrite();
    return new SqlStatement(
        text.retain(), isWrite, key, id, requestClass, group, timeout, lastWriteAt);
  }

  private static boolean isHexDigit(byte value) {
    return isBetween('0', value, '9') || isBetween('a', value, 'f') || isBetween('A', value, 'F');
  }

  private static boolean isBetween(char min, byte value, char max) {
    return value >= min && value <= max;
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  // ---- form

  /** Returns whether the statement is a write. */
  private boolean skipPrefix() throws ProtocolException {
    if (skipIfNext(WRITE_PREFIX)) {
      return true;
    }
    if (!skipIfNext(READ_PREFIX)) {
      throw syntaxError("neither of the statements that are served");
    }
    return false;
  }

  private void skipValue() throws ProtocolException {
    skip(WRITE_VALUE_START);
    int start = offset;
    offset = endOfRun(HEX_DIGITS);
    if ((offset - start) % 2 != 0) {
      throw syntaxError("half a byte in the value");
    }
  }

  private void readComment(byte[] commentStart) throws ProtocolException {
    skip(commentStart);
    do {
      readField();
    } while (skipIfNext(COMMA));
    skip(COMMENT_END);
    if (offset != text.writerIndex()) {
      throw syntaxError("the comment does not end the statement");
    }
  }

  private void readField() throws ProtocolException {
    String name = readToken(FIELD_CHARACTERS, MAX_FIELD_LENGTH, "a field's name");
    skip(EQUALS);
    int valueStart = offset;
    String value = readToken(FIELD_CHARACTERS, MAX_FIELD_LENGTH, "the field " + name);
    if (fields.put(name, value) != null) {
      throw syntaxError("the field " + name + " stands twice");
    }
    if (name.equals(TIMEOUT_FIELD)) {
      timeoutStart = valueStart;
      timeoutEnd = offset;
    }
  }

  /** Skips these bytes if they come next; returns whether they did. */
  private boolean skipIfNext(byte[] expected) {
    if (text.writerIndex() - offset < expected.length) {
      return false;
    }
    for (int i = 0; i < expected.length; i++) {
      if (text.getByte(offset + i) != expected[i]) {
        return false;
      }
    }
    offset += expected.length;
    return true;
  }

  private void skip(byte[] expected) throws ProtocolException {
    if (!skipIfNext(expected)) {
      int position = offset - text.readerIndex();
      throw syntaxError("not in the form that is served, at byte " + position);
    }
  }

  /** Reads as many allowed bytes as follow: at least one, and at most {@code maxLength}. */
  private String readToken(ByteProcessor allowed, int maxLength, String description)
      throws ProtocolException {
    int start = offset;
    int length = endOfRun(allowed) - start;
    if (length == 0 || length > maxLength) {
      throw syntaxError(description + " has " + length + " bytes");
    }
    offset += length;
    return text.toString(start, length, StandardCharsets.US_ASCII);
  }

  private int endOfRun(ByteProcessor allowed) {
    int end = text.forEachByte(offset, text.writerIndex() - offset, allowed);
    return end < 0 ? text.writerIndex() : end;
  }

  // ---- fields

  private RequestClass parseRequestClass(List<RequestClass> requestClasses, boolean isWrite)
      throws ProtocolException {
    RequestClass requestClass =
        RequestClass.findByName(requestClasses, requireField(CLASS_FIELD))
            .orElseThrow(() -> invalidField(CLASS_FIELD, "names no product"));
    if (isWrite != requestClass.isWrite()) {
      throw invalidField(CLASS_FIELD, "does not go with the statement");
    }
    return requestClass;
  }

  private RequestId parseId() throws ProtocolException {
    String id = requireField(ID_FIELD);
    if (id.length() > MAX_ID_LENGTH) {
      throw invalidField(ID_FIELD, "is too long");
    }
    return new RequestId(id);
  }

  private GroupId parseGroup() throws ProtocolException {
    return fields.containsKey(GROUP_FIELD)
        ? new GroupId((int) parseNumber(GROUP_FIELD, Integer.MAX_VALUE))
        : SqlStatement.UNNAMED_GROUP;
  }

  private SqlStatement.Timeout parseTimeout() throws ProtocolException {
    long nanos = parseNumber(TIMEOUT_FIELD, MAX_TIMEOUT_MILLIS) * NANOS_PER_MILLI;
    if (nanos == 0) {
      throw invalidField(TIMEOUT_FIELD, "leaves no time");
    }
    return new SqlStatement.Timeout(nanos, timeoutStart, timeoutEnd);
  }

  private long parseLastWrite() throws ProtocolException {
    return fields.containsKey(LAST_WRITE_FIELD)
        ? parseNumber(LAST_WRITE_FIELD, MAX_TIME_MILLIS) * NANOS_PER_MILLI
        : 0;
  }

  private long parseNumber(String field, long max) throws ProtocolException {
    try {
      long value = Long.parseLong(requireField(field));
      if (value >= 0 && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      // reported below, as a number out of range is
    }
    throw invalidField(field, "is no such number");
  }

  private String requireField(String field) throws ProtocolException {
    String value = fields.get(field);
    if (value == null) {
      throw syntaxError("the field " + field + " is missing");
    }
    return value;
  }

  private static ProtocolException syntaxError(String message) {
    return ProtocolException.rejected(SqlState.SYNTAX_ERROR, message);
  }

  private static ProtocolException invalidField(String field, String reason) {
    return ProtocolException.rejected(
        SqlState.INVALID_PARAMETER_VALUE, "the field " + field + " " + reason);
  }
}
