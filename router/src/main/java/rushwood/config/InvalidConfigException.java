package rushwood.config;

/** A setting that cannot be used. */
public final class InvalidConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String field;
  private final String reason;

  InvalidConfigException(String field, String reason) {
    super(field + " " + reason);
    this.field = field;
    this.reason = reason;
  }

  /** Returns the path of the field in its file, or the name of an environment variable. */
  public String field() {
    return field;
  }

  /** Returns what is wrong with the field, as the rest of a sentence that begins with it. */
  public String reason() {
    return reason;
  }

  /** Returns one line: the field, a space and the reason. */
  @Override
  public String getMessage() {
    return field + " " + reason;
  }
}
