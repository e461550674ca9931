package rushwood.protocol;

/**
 * A peer sent something that is not accepted. {@link #reason} and {@link #sqlState} are sent to it
 * if it is a client. Carries no stack trace: it is thrown for input, not for faults of the program.
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

  /** A message that is well formed and not accepted; the connection can go on. */
  public static ProtocolException rejected(String sqlState, String reason) {
    return new ProtocolException(sqlState, reason, false);
  }

  /** Input after which the connection cannot go on. */
  public static ProtocolException fatal(String sqlState, String reason) {
    return new ProtocolException(sqlState, reason, true);
  }

  /** Malformed input: where the next message begins is not known. */
  public static ProtocolException protocolViolation(String reason) {
    return fatal(SqlState.PROTOCOL_VIOLATION, reason);
  }

  /** The SQLSTATE that tells a client why, one of {@link SqlState}. */
  public String sqlState() {
    return sqlState;
  }

  /** What is not accepted, in a few words. */
  public String reason() {
    return reason;
  }

  /** Whether the connection has to be closed. */
  public boolean isFatal() {
    return isFatal;
  }
}
