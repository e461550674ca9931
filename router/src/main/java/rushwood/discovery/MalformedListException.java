package rushwood.discovery;

/** What is read is no list or no entry: invalid JSON, or beyond a bound. */
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
   * Records no stack: a list may have thousands of invalid entries, and only the reason is used.
   */
  @Override
  public synchronized Throwable fillInStackTrace() {
    return this;
  }
}
