package rushwood.api;

/** What a host says of its role in its group. */
public enum HostRole {
  PRIMARY,
  REPLICA,
  /** The host has said nothing of its role. */
  UNKNOWN;

  /** The role of a host that says whether it is the primary. */
  public static HostRole of(boolean isPrimary) {
    return isPrimary ? PRIMARY : REPLICA;
  }

  /** Whether the host has said which role it has. */
  public boolean isKnown() {
    return this != UNKNOWN;
  }
}
