package rushwood.config;

/** Thrown if a configuration cannot be read, or a setting in it is missing or invalid. */
public final class InvalidConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String field;
  private final String reason;

  InvalidConfigException(String field, String reason) {
    super(field + " " + reason);
    this.field = field;
    this.reason = reason;
  }

  /** Returns the path of the field, or the name of the environment variable or file at fault. */
  public String field() {
    return field;
  }

  /** Returns what is wrong with the field, such as {@code is missing}. */
  public String reason() {
    return reason;
  }

  /** Returns the field and the reason, separated by a space. */
  @Override
  public String getMessage() {
    return field + " " + reason;
  }
}
