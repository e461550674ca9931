package rushwood.discovery;

/** Thrown if the input is not a list or an entry: it is invalid JSON or exceeds a size limit. */
final class MalformedListException extends Exception {
  private static final long serialVersionUID = 1L;
  private final String reason;

  MalformedListException(String reason) {
    super(reason);
    this.reason = reason;
  }

  @Override
  public String getMessage() {
    return reason;
  }

  /**
   * Records no stack trace, because a list may have thousands of invalid entries and only the
   * message is used.
   */
  @Override
  public synchronized Throwable fillInStackTrace() {
    return this;
  }
}
