package rushwood.protocol;

/**
 * Upper limits for the length field of messages, by message type. The length field counts itself
 * but not the type byte. Tight limits detect malformed data when the header of a message has
 * arrived, rather than by a timeout when the rest never arrives.
 */
final class MessageLimits {
  /** Stands for the type of messages without a type byte, which clients send at startup. */
  static final int STARTUP_TYPE = 0;

  /** The limit of PostgreSQL itself. */
  private static final int MAX_CLIENT_STARTUP_BYTES = 10_000;

  /** A value of 64 KiB takes 128 KiB in hexadecimal; the other half of the limit is headroom. */
  private static final int MAX_QUERY_BYTES = 256 << 10;

  private static final int EMPTY_MESSAGE_BYTES = 4;

  /** For DataRow: far above the rows that hosts send, but far below the available memory. */
  private static final int MAX_DATA_ROW_BYTES = 1 << 20;

  /** For RowDescription and CommandComplete. */
  private static final int MAX_ROW_FRAME_BYTES = 1 << 10;

  /** For ErrorResponse, NoticeResponse and ParameterStatus: far above what hosts send. */
  private static final int MAX_STATUS_BYTES = 8 << 10;

  /** For Authentication and BackendKeyData. */
  private static final int MAX_HOST_STARTUP_BYTES = 300;

  private static final int READY_FOR_QUERY_BYTES = 5;

  private MessageLimits() {}

  /** Returns the limit for a message from a client in bytes, 0 if the type is not accepted. */
  static int maxClientMessageBytes(int type) {
    return switch (type) {
      case STARTUP_TYPE -> MAX_CLIENT_STARTUP_BYTES;
      case FrontendMessageType.TERMINATE, FrontendMessageType.SYNC -> EMPTY_MESSAGE_BYTES;
      case FrontendMessageType.QUERY -> MAX_QUERY_BYTES;
      default -> FrontendMessageType.isUnsupported(type) ? MAX_QUERY_BYTES : 0;
    };
  }

  /** Returns the limit for a message from a host in bytes, 0 if the type is not accepted. */
  static int maxHostMessageBytes(int type) {
    return switch (type) {
      case BackendMessageType.READY_FOR_QUERY -> READY_FOR_QUERY_BYTES;
      case BackendMessageType.AUTHENTICATION, BackendMessageType.BACKEND_KEY_DATA ->
          MAX_HOST_STARTUP_BYTES;
      case BackendMessageType.ROW_DESCRIPTION, BackendMessageType.COMMAND_COMPLETE ->
          MAX_ROW_FRAME_BYTES;
      case BackendMessageType.PARAMETER_STATUS,
          BackendMessageType.ERROR_RESPONSE,
          BackendMessageType.NOTICE_RESPONSE ->
          MAX_STATUS_BYTES;
      case BackendMessageType.DATA_ROW -> MAX_DATA_ROW_BYTES;
      default -> 0;
    };
  }
}
