package rushwood.protocol;

/**
 * The most that the length field of a message may say, in bytes and by the type of the message; 0
 * for a type that is not accepted. Tight limits show malformed data at the head of a message,
 * instead of only when its rest does not arrive.
 */
final class MessageLimits {
  /** Stands for a message without a type: the first one of a client. */
  static final int STARTUP_TYPE = 0;

  /** PostgreSQL's own limit. */
  private static final int MAX_CLIENT_STARTUP_LENGTH = 10_000;

  /** A value of 64 KiB takes 128 KiB in hexadecimal; as much again is spare. */
  private static final int MAX_QUERY_LENGTH = 256 << 10;

  private static final int EMPTY_BODY_LENGTH = 4;

  /** Far above the rows that hosts send, well below what memory holds. */
  private static final int MAX_ROW_LENGTH = 1 << 20;

  /** For RowDescription and CommandComplete. */
  private static final int MAX_ROW_FRAME_LENGTH = 1 << 10;

  /** Far above any error, notice or parameter of a host. */
  private static final int MAX_TEXT_LENGTH = 8 << 10;

  private static final int MAX_HOST_STARTUP_LENGTH = 300;
  private static final int READY_FOR_QUERY_LENGTH = 5;

  private MessageLimits() {}

  /** The limit of a message from a client. */
  static int ofClient(int type) {
    return switch (type) {
      case STARTUP_TYPE -> MAX_CLIENT_STARTUP_LENGTH;
      case FrontendMessageType.TERMINATE, FrontendMessageType.SYNC -> EMPTY_BODY_LENGTH;
      case FrontendMessageType.QUERY -> MAX_QUERY_LENGTH;
      default -> FrontendMessageType.isUnsupported(type) ? MAX_QUERY_LENGTH : 0;
    };
  }

  /** The limit of a message from a host. */
  static int ofHost(int type) {
    return switch (type) {
      case BackendMessageType.READY_FOR_QUERY -> READY_FOR_QUERY_LENGTH;
      case BackendMessageType.AUTHENTICATION, BackendMessageType.BACKEND_KEY_DATA ->
          MAX_HOST_STARTUP_LENGTH;
      case BackendMessageType.ROW_DESCRIPTION, BackendMessageType.COMMAND_COMPLETE ->
          MAX_ROW_FRAME_LENGTH;
      case BackendMessageType.PARAMETER_STATUS,
          BackendMessageType.ERROR_RESPONSE,
          BackendMessageType.NOTICE_RESPONSE ->
          MAX_TEXT_LENGTH;
      case BackendMessageType.DATA_ROW -> MAX_ROW_LENGTH;
      default -> 0;
    };
  }
}
