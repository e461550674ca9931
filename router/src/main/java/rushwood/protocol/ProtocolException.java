package rushwood.protocol;

/**
 * What a peer wrote cannot be taken; {@code fatal} where the messages that follow cannot be found.
 */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  public final String sqlState;
  final boolean fatal;

  public ProtocolException(String sqlState, String message, boolean fatal) {
    super(message, null, false, false);
    this.sqlState = sqlState;
    this.fatal = fatal;
  }

  public static ProtocolException protocolViolation(String message) {
    return new ProtocolException("08P01", message, true);
  }
}
