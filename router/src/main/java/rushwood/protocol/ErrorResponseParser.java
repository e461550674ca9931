package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import java.util.regex.Pattern;

/** Parses the ErrorResponse of a host. */
final class ErrorResponseParser {
  private static final char SQL_STATE_FIELD = 'C';
  private static final Pattern SQL_STATE = Pattern.compile("[0-9A-Z]{5}");

  private ErrorResponseParser() {}

  /**
   * Parses the SQLSTATE of an error.
   *
   * @param message its reader index at the body
   * @throws ProtocolException that is fatal, if the message is malformed: an error can prove that
   *     the statement never ran, so a doubtful one must not count
   */
  static String parseSqlState(ByteBuf message) throws ProtocolException {
    String sqlState = "";
    byte field = 1;
    while (message.isReadable() && (field = message.readByte()) != 0) {
      String value = CString.read(message);
      sqlState = field == SQL_STATE_FIELD ? value : sqlState;
    }
    if (field != 0 || message.isReadable() || !SQL_STATE.matcher(sqlState).matches()) {
      throw ProtocolException.protocolViolation("an error that cannot be read");
    }
    return sqlState;
  }
}
