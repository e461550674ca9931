package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Checks that a row is exactly one RowDescription, one DataRow of one column and one
 * CommandComplete, in this order, and that their lengths fit to the byte: clients have to be able
 * to read what is passed on to them.
 */
final class RowChecker {
  private static final char NO_PART = 0;

  /** A column count, and one name or the length of one value. */
  private static final int MIN_PART_BYTES = 6;

  /** Behind the name of a column. */
  private static final int COLUMN_DESCRIPTION_BYTES = 18;

  private char lastPart = NO_PART;

  /** The next part is the first one of a row. */
  void begin() {
    lastPart = NO_PART;
  }

  boolean isComplete() {
    return lastPart == BackendMessageType.COMMAND_COMPLETE;
  }

  /**
   * Checks the next part.
   *
   * @param message its reader index at the body, of which an unspecified part is read
   * @throws ProtocolException that is fatal, if it is out of order or its lengths do not fit
   */
  void checkPart(char type, ByteBuf message) throws ProtocolException {
    if (!isNext(type)) {
      throw outOfOrder();
    }
    checkLengths(type, message);
    lastPart = type;
  }

  static ProtocolException outOfOrder() {
    return ProtocolException.protocolViolation("a part of a row out of order");
  }

  /** The value of a DataRow that was checked and has its body at this index. */
  static String columnValue(ByteBuf dataRow, int bodyStart) {
    int start = bodyStart + MIN_PART_BYTES;
    return dataRow.toString(start, dataRow.writerIndex() - start, StandardCharsets.UTF_8);
  }

  private boolean isNext(char type) {
    return switch (type) {
      case BackendMessageType.ROW_DESCRIPTION -> lastPart == NO_PART;
      case BackendMessageType.DATA_ROW -> lastPart == BackendMessageType.ROW_DESCRIPTION;
      case BackendMessageType.COMMAND_COMPLETE -> lastPart == BackendMessageType.DATA_ROW;
      default -> false;
    };
  }

  private static void checkLengths(char type, ByteBuf message) throws ProtocolException {
    if (type != BackendMessageType.COMMAND_COMPLETE
        && (message.readableBytes() < MIN_PART_BYTES || message.readShort() != 1)) {
      throw ProtocolException.protocolViolation("a row that has not one column");
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
      throw ProtocolException.protocolViolation("a part of a row whose lengths do not fit");
    }
  }
}
