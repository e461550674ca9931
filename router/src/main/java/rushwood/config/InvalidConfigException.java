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

  /** Returns the path of the field in its file, or the name of the environment variable. */
  public String field() {
    return field;
  }

  /** Returns what is wrong with the field, such as {@code is missing}. */
  public String reason() {
    return reason;
  }

  /** Returns the field, a space and the reason, in one line. */
  @Override
  public String getMessage() {
    return field + " " + reason;
  }
}
