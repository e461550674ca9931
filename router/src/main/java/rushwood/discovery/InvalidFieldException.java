package rushwood.discovery;

/**
 * A field of the endpoint list that is missing or has a value outside its bounds. The message names
 * the field as it is on the wire, and the reason.
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

  /** For a field that is absent, of the wrong type or without a usable value. */
  static InvalidFieldException missingOrUnreadable(String field) {
    return new InvalidFieldException(field, "is missing or cannot be read");
  }

  /** The field, a space and the reason. */
  @Override
  public String getMessage() {
    return field + " " + reason;
  }

  /**
   * Records no stack: a list may have thousands of invalid entries, and only the reason is used.
   */
  @Override
  public synchronized Throwable fillInStackTrace() {
    return this;
  }
}
