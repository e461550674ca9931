package rushwood.protocol;

/**
 * A peer sent something that is not accepted. The message and {@link #sqlState} are sent to it if
 * it is a client. Carries no stack trace: it is thrown for input, not for faults of the program.
 */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String sqlState;
  private final boolean fatal;

  private ProtocolException(String sqlState, String message, boolean fatal) {
    super(message, null, false, false);
    this.sqlState = sqlState;
    this.fatal = fatal;
  }

  /** A message that is well formed and not accepted; the connection can go on. */
  public static ProtocolException rejected(String sqlState, String message) {
    return new ProtocolException(sqlState, message, false);
  }

  /** Input after which the connection cannot go on. */
  public static ProtocolException fatal(String sqlState, String message) {
    return new ProtocolException(sqlState, message, true);
  }

  /** Malformed input: where the next message begins is not known. */
  public static ProtocolException protocolViolation(String message) {
    return fatal(SqlState.PROTOCOL_VIOLATION, message);
  }

  /** The SQLSTATE that tells a client why, one of {@link SqlState}. */
  public String sqlState() {
    return sqlState;
  }

  /** Whether the connection has to be closed. */
  public boolean isFatal() {
    return fatal;
  }
}
