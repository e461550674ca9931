package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import java.util.regex.Pattern;

/** Parses ErrorResponse messages from hosts. */
final class ErrorResponseParser {
  private static final char SQL_STATE_FIELD = 'C';
  private static final Pattern SQL_STATE = Pattern.compile("[0-9A-Z]{5}");

  private ErrorResponseParser() {}

  /**
   * Returns the SQLSTATE of an error. The SQLSTATE can prove that the statement was not executed,
   * so a message that is malformed in any part is not accepted.
   *
   * @param message a message whose reader index is at the body
   * @throws ProtocolException (fatal) if the message is malformed
   */
  static String parseSqlState(ByteBuf message) throws ProtocolException {
    String sqlState = "";
    byte field = 1;
    while (message.isReadable() && (field = message.readByte()) != 0) {
      String value = CString.read(message);
      sqlState = field == SQL_STATE_FIELD ? value : sqlState;
    }
    if (field != 0 || message.isReadable() || !SQL_STATE.matcher(sqlState).matches()) {
      throw ProtocolException.protocolViolation("malformed ErrorResponse");
    }
    return sqlState;
  }
}
