package rushwood.lifecycle;

/** A configuration that cannot be used; the message names the field. */
public final class BadConfig extends Exception {
  private static final long serialVersionUID = 1L;

  BadConfig(String field, String why) {
    super(field + " " + why);
  }
}
