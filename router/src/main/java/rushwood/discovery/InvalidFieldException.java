package rushwood.discovery;

/**
 * Thrown if a field of the endpoint list is missing or has an invalid value. The message consists
 * of the field's name on the wire and the reason.
 */
final class InvalidFieldException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;
  private final String field;
  private final String reason;

  InvalidFieldException(String field, String reason) {
    super(field + " " + reason);
    this.field = field;
    this.reason = reason;
  }

  /** Creates an exception for a field that is absent, of the wrong type or has an invalid value. */
  static InvalidFieldException missingOrUnreadable(String field) {
    return new InvalidFieldException(field, "is missing or cannot be read");
  }

  /** Returns the field and the reason, separated by a space. */
  @Override
  public String getMessage() {
    return field + " " + reason;
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
