package rushwood.protocol;

/** The errors with fixed texts that clients are sent. */
public final class ClientErrors {
  /**
   * Rejects a request that ran nowhere or is idempotent; sent with a Retry-After where there is
   * one.
   */
  static final ErrorResponse REQUEST_REJECTED =
      ErrorResponse.error(SqlState.TOO_MANY_CONNECTIONS, "turned back: trying again is harmless");

  /** Answers a request that failed and may have run. */
  static final ErrorResponse REQUEST_FAILED =
      ErrorResponse.error(SqlState.SYSTEM_ERROR, "given up: it may have run");

  /** Answers a request that was cancelled by a CancelRequest. */
  static final ErrorResponse REQUEST_CANCELLED =
      ErrorResponse.error(SqlState.QUERY_CANCELED, "canceling statement due to user request");

  /** Answers a message of the extended query protocol, a function call or COPY. */
  static final ErrorResponse UNSUPPORTED_MESSAGE =
      ErrorResponse.error(SqlState.FEATURE_NOT_SUPPORTED, "only simple queries are taken");

  /** Refuses or closes a connection for which there is no descriptor. */
  public static final ErrorResponse TOO_MANY_CONNECTIONS =
      ErrorResponse.fatal(SqlState.TOO_MANY_CONNECTIONS, "too many connections");

  /** Refuses a connection during shutdown. */
  public static final ErrorResponse SHUTTING_DOWN =
      ErrorResponse.fatal(SqlState.CANNOT_CONNECT_NOW, "this router ends");

  /** Closes a connection whose client sends one statement after the other that is not accepted. */
  public static final ErrorResponse TOO_MANY_REJECTIONS =
      ErrorResponse.fatal(SqlState.PROTOCOL_VIOLATION, "too many statements that cannot be taken");

  /** Closes a connection whose client wrote too far ahead of its answers. */
  public static final ErrorResponse TOO_MUCH_PIPELINED =
      ErrorResponse.fatal(
          SqlState.TOO_MANY_CONNECTIONS, "too much was written ahead of its answers");

  /** Closes a connection with an incomplete message for which there is no memory. */
  public static final ErrorResponse OUT_OF_MEMORY =
      ErrorResponse.fatal(SqlState.TOO_MANY_CONNECTIONS, "memory is short");

  /** Closes a connection on which a message stayed incomplete for too long. */
  public static final ErrorResponse MESSAGE_TIMED_OUT =
      ErrorResponse.fatal(SqlState.PROTOCOL_VIOLATION, "the message did not come in time");

  private ClientErrors() {}
}
