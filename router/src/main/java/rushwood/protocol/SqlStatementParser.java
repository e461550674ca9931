package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.util.List;
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
  /** In bytes: far above keys in use. Sessions are stored by it. */
  private static final int MAX_KEY_LENGTH = 256;

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
   * Parses the text of a Query message without its closing zero. The statement retains the text if
   * there is no error.
   *
   * @throws ProtocolException with {@link SqlState#SYNTAX_ERROR} if the form is wrong or a field is
   *     missing, {@link SqlState#INVALID_PARAMETER_VALUE} if the value of a field is not allowed
   */
  public static SqlStatement parse(ByteBuf text, List<RequestClass> requestClasses)
      throws ProtocolException {
    StatementScanner scanner = new StatementScanner(text);
    boolean isWrite = skipPrefix(scanner);
    SessionId key = new SessionId(scanner.readToken(KEY_CHARACTERS, MAX_KEY_LENGTH, "the key", ""));
    if (isWrite) {
      skipValue(scanner);
    }
    scanner.skip(isWrite ? WRITE_COMMENT_START : READ_COMMENT_START);
    StatementComment comment = new StatementComment(scanner);
    scanner.skip(COMMENT_END);
    if (!scanner.isAtEnd()) {
      throw StatementScanner.syntaxError("the comment does not end the statement");
    }
    RequestClass requestClass = comment.requestClass(requestClasses, isWrite);
    RequestId id = comment.id();
    GroupId group = comment.group();
    SqlStatement.Timeout timeout = comment.timeout();
    long lastWriteAt = comment.lastWriteAt();
    return new SqlStatement(
        text.retain(), isWrite, key, id, requestClass, group, timeout, lastWriteAt);
  }

  /** Returns whether the statement is a write. */
  private static boolean skipPrefix(StatementScanner scanner) throws ProtocolException {
    if (scanner.skipIfNext(WRITE_PREFIX)) {
      return true;
    }
    if (!scanner.skipIfNext(READ_PREFIX)) {
      throw StatementScanner.syntaxError("neither of the statements that are served");
    }
    return false;
  }

  private static void skipValue(StatementScanner scanner) throws ProtocolException {
    scanner.skip(WRITE_VALUE_START);
    if (scanner.skipRun(HEX_DIGITS) % 2 != 0) {
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
