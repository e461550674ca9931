package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Checks that a row consists of one RowDescription, one DataRow with one column and one
 * CommandComplete, in this order, and that all lengths in them are consistent. The messages are
 * passed on to clients unchanged, so clients must be able to parse them.
 */
final class RowChecker {
  private static final char NO_TYPE = 0;

  /**
   * The column count and the length of the first value. Also a lower bound for the body of a valid
   * RowDescription, which is longer.
   */
  private static final int DATA_ROW_HEADER_BYTES = 6;

  /** The fields that follow the name of a column in a RowDescription. */
  private static final int COLUMN_DESCRIPTION_BYTES = 18;

  private char lastType = NO_TYPE;

  /** Prepares for the first message of the next row. */
  void begin() {
    lastType = NO_TYPE;
  }

  boolean isComplete() {
    return lastType == BackendMessageType.COMMAND_COMPLETE;
  }

  /**
   * Checks the next message of the row.
   *
   * @param type the type of the message
   * @param message the message, whose reader index is at the body; the reader index is moved by an
   *     unspecified number of bytes
   * @throws ProtocolException (fatal) if the message is out of order or malformed
   */
  void checkMessage(char type, ByteBuf message) throws ProtocolException {
    if (!isInOrder(type)) {
      throw outOfOrder();
    }
    checkLengths(type, message);
    lastType = type;
  }

  static ProtocolException outOfOrder() {
    return ProtocolException.protocolViolation("row message out of order");
  }

  /** Returns the value of a DataRow that was checked and whose body starts at this index. */
  static String columnValue(ByteBuf dataRow, int bodyStart) {
    int start = bodyStart + DATA_ROW_HEADER_BYTES;
    return dataRow.toString(start, dataRow.writerIndex() - start, StandardCharsets.UTF_8);
  }

  private boolean isInOrder(char type) {
    return switch (type) {
      case BackendMessageType.ROW_DESCRIPTION -> lastType == NO_TYPE;
      case BackendMessageType.DATA_ROW -> lastType == BackendMessageType.ROW_DESCRIPTION;
      case BackendMessageType.COMMAND_COMPLETE -> lastType == BackendMessageType.DATA_ROW;
      default -> false;
    };
  }

  private static void checkLengths(char type, ByteBuf message) throws ProtocolException {
    if (type != BackendMessageType.COMMAND_COMPLETE
        && (message.readableBytes() < DATA_ROW_HEADER_BYTES || message.readShort() != 1)) {
      throw ProtocolException.protocolViolation("row without exactly one column");
    }
    if (type != BackendMessageType.DATA_ROW) {
      CString.read(message);
    }
    int expectedBytes =
        switch (type) {
          case BackendMessageType.ROW_DESCRIPTION -> COLUMN_DESCRIPTION_BYTES;
          case BackendMessageType.DATA_ROW -> message.readInt();
          default -> 0;
        };
    if (message.readableBytes() != expectedBytes) {
      throw ProtocolException.protocolViolation("row message with inconsistent lengths");
    }
  }
}
