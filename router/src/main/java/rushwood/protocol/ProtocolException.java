package rushwood.protocol;

/**
 * Thrown when input of a client or host is not accepted. A client is sent {@link #reason} and
 * {@link #sqlState}. Has no stack trace, because the cause is the input and not a fault of the
 * program.
 */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String sqlState;
  private final String reason;
  private final boolean isFatal;

  private ProtocolException(String sqlState, String reason, boolean isFatal) {
    super(reason, null, false, false);
    this.sqlState = sqlState;
    this.reason = reason;
    this.isFatal = isFatal;
  }

  /** Returns an exception for a message that is rejected; the connection stays usable. */
  public static ProtocolException rejected(String sqlState, String reason) {
    return new ProtocolException(sqlState, reason, false);
  }

  /** Returns an exception for a statement for which, or for whose answer, there is no memory. */
  public static ProtocolException memoryShort() {
    return rejected(SqlState.TOO_MANY_CONNECTIONS, "memory is short: trying again is harmless");
  }

  /** Returns an exception for input after which the connection must be closed. */
  public static ProtocolException fatal(String sqlState, String reason) {
    return new ProtocolException(sqlState, reason, true);
  }

  /**
   * Returns a fatal exception for malformed input, after which the next message cannot be found.
   */
  public static ProtocolException protocolViolation(String reason) {
    return fatal(SqlState.PROTOCOL_VIOLATION, reason);
  }

  /** Returns the SQLSTATE for the client, one of {@link SqlState}. */
  public String sqlState() {
    return sqlState;
  }

  /** Returns a short text for the client that says what was not accepted. */
  public String reason() {
    return reason;
  }

  /** Returns whether the connection must be closed. */
  public boolean isFatal() {
    return isFatal;
  }
}
