package rushwood.membership;

/** A parameter of {@link MembershipSettings} or {@link GossipReports} that is out of its bounds. */
public final class InvalidSettingException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;
  private final String field;

  /** The message is the field, then {@code reason}, as in "period must be above zero". */
  InvalidSettingException(String field, String reason) {
    super(field + " " + reason);
    this.field = field;
  }

  /** The parameter's name. */
  public String field() {
    return field;
  }
}
