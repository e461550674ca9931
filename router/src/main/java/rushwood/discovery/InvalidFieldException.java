package rushwood.discovery;

/** A field of the endpoint list that is missing or has a value outside its bounds. */
public final class InvalidFieldException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;
  private final String field;

  /** The message is the field's name on the wire, then {@code reason}. */
  InvalidFieldException(String field, String reason) {
    super(field + " " + reason);
    this.field = field;
  }

  /** For a field that is absent, of the wrong type or without a usable value. */
  static InvalidFieldException missingOrUnreadable(String field) {
    return new InvalidFieldException(field, "is missing or cannot be read");
  }

  /** The field's name on the wire. */
  public String field() {
    return field;
  }
}
