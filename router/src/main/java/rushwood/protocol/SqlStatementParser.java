package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.util.List;
import rushwood.api.GroupId;
import rushwood.api.RequestClass;
import rushwood.api.RequestId;
import rushwood.api.SessionId;

/**
 * Parses the two supported statements: a SELECT and an INSERT of one value, each with a comment at
 * the end that contains the fields of the request. Every byte is checked, because a host closes the
 * connection on a statement that it cannot parse and would then be considered unhealthy.
 */
public final class SqlStatementParser {
  /** Far above the keys in use; limits the memory for sessions, which are stored by key. */
  private static final int MAX_KEY_BYTES = 256;

  private static final byte[] READ_PREFIX =
      StatementScanner.ascii("SELECT val FROM state WHERE uid = '");
  private static final byte[] READ_COMMENT_START = StatementScanner.ascii("' /* ");
  private static final byte[] WRITE_PREFIX =
      StatementScanner.ascii("INSERT INTO state (uid, val) VALUES ('");
  private static final byte[] WRITE_VALUE_START = StatementScanner.ascii("', '\\x");
  private static final byte[] WRITE_COMMENT_START = StatementScanner.ascii("') RETURNING val /* ");
  private static final byte[] COMMENT_END = StatementScanner.ascii(" */");

  private static final ByteProcessor KEY_CHARACTERS =
      character -> character > ' ' && character < 127 && character != '\'' && character != '\\';
  private static final ByteProcessor HEX_DIGITS = SqlStatementParser::isHexDigit;

  private SqlStatementParser() {}

  /**
   * Parses the text of a Query message without its terminator. The returned statement retains the
   * text; if an exception is thrown the text is not retained.
   *
   * @throws ProtocolException with {@link SqlState#SYNTAX_ERROR} if the form is wrong or a field is
   *     missing, with {@link SqlState#INVALID_PARAMETER_VALUE} if a field has an invalid value
   */
  public static SqlStatement parse(ByteBuf text, List<RequestClass> requestClasses)
      throws ProtocolException {
    StatementScanner scanner = new StatementScanner(text);
    boolean isWrite = skipPrefix(scanner);
    SessionId key = new SessionId(scanner.readToken(KEY_CHARACTERS, MAX_KEY_BYTES, "the key", ""));
    if (isWrite) {
      skipValue(scanner);
    }
    scanner.expect(isWrite ? WRITE_COMMENT_START : READ_COMMENT_START);
    StatementComment comment = new StatementComment(scanner);
    scanner.expect(COMMENT_END);
    if (!scanner.isAtEnd()) {
      throw StatementScanner.syntaxError("the comment does not end the statement");
    }
    RequestClass requestClass = comment.requestClass(requestClasses, isWrite);
    RequestId id = comment.id();
    GroupId group = comment.group();
    SqlStatement.Timeout timeout = comment.timeout();
    long lastWriteUnixNanos = comment.lastWriteUnixNanos();
    return new SqlStatement(
        text.retain(), isWrite, key, id, requestClass, group, timeout, lastWriteUnixNanos);
  }

  /** Skips the start of the statement up to the key. Returns whether the statement is a write. */
  private static boolean skipPrefix(StatementScanner scanner) throws ProtocolException {
    if (scanner.tryConsume(WRITE_PREFIX)) {
      return true;
    }
    if (!scanner.tryConsume(READ_PREFIX)) {
      throw StatementScanner.syntaxError("neither of the statements that are served");
    }
    return false;
  }

  private static void skipValue(StatementScanner scanner) throws ProtocolException {
    scanner.expect(WRITE_VALUE_START);
    if (scanner.skipWhile(HEX_DIGITS) % 2 != 0) {
      throw StatementScanner.syntaxError("half a byte in the value");
    }
  }

  private static boolean isHexDigit(byte value) {
    return isBetween('0', value, '9') || isBetween('a', value, 'f') || isBetween('A', value, 'F');
  }

  private static boolean isBetween(char min, byte value, char max) {
    return value >= min && value <= max;
  }
}
