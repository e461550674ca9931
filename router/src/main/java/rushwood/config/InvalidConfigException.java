package rushwood.config;

/** A configuration that cannot be used; the message names the field. */
public final class InvalidConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  InvalidConfigException(String field, String why) {
    super(field + " " + why);
  }
}
