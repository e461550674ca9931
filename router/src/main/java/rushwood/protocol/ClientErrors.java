package rushwood.protocol;

/** Error responses to clients whose text is fixed. */
public final class ClientErrors {
  /**
   * Rejects a request that was not executed or is idempotent, so that trying again is harmless.
   * Sent with a Retry-After if the rejection has one.
   */
  static final ErrorResponse REQUEST_REJECTED =
      ErrorResponse.error(SqlState.TOO_MANY_CONNECTIONS, "turned back: trying again is harmless");

  /** Fails a request that may have been executed. */
  static final ErrorResponse REQUEST_FAILED =
      ErrorResponse.error(SqlState.SYSTEM_ERROR, "given up: it may have run");

  /** Responds to a request that was cancelled by a CancelRequest message. */
  static final ErrorResponse REQUEST_CANCELLED =
      ErrorResponse.error(SqlState.QUERY_CANCELED, "canceling statement due to user request");

  /** Responds to a message of the extended query protocol, a function call or COPY. */
  static final ErrorResponse UNSUPPORTED_MESSAGE =
      ErrorResponse.error(SqlState.FEATURE_NOT_SUPPORTED, "only simple queries are taken");

  /** Refuses or closes a connection because the file descriptor budget is used up. */
  public static final ErrorResponse TOO_MANY_CONNECTIONS =
      ErrorResponse.fatal(SqlState.TOO_MANY_CONNECTIONS, "too many connections");

  /** Refuses a connection during shutdown. */
  public static final ErrorResponse SHUTTING_DOWN =
      ErrorResponse.fatal(SqlState.CANNOT_CONNECT_NOW, "this router ends");

  /** Closes a connection on which too many consecutive statements were rejected. */
  public static final ErrorResponse TOO_MANY_REJECTIONS =
      ErrorResponse.fatal(SqlState.PROTOCOL_VIOLATION, "too many statements that cannot be taken");

  /** Closes a connection whose client did not complete a message in time. */
  public static final ErrorResponse MESSAGE_TIMED_OUT =
      ErrorResponse.fatal(SqlState.PROTOCOL_VIOLATION, "the message did not come in time");

  private ClientErrors() {}
}
