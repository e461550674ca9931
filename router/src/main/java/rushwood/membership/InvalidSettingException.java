package rushwood.membership;

/** Thrown when a parameter of {@link MembershipSettings} or {@link GossipReports} is invalid. */
public final class InvalidSettingException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;
  private final String field;

  /**
   * Creates an exception whose message consists of the parameter's name and the reason.
   *
   * @param reason the constraint that the value violates, such as "must be positive"
   */
  InvalidSettingException(String field, String reason) {
    super(field + " " + reason);
    this.field = field;
  }

  /** Returns the name of the invalid parameter. */
  public String field() {
    return field;
  }
}
