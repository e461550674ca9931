package rushwood.api;

/** The role of a host in its group, as the host reports it. */
public enum HostRole {
  /** The host takes writes. */
  PRIMARY,
  /** The host follows the primary and refuses writes. */
  REPLICA,
  /** The host has not reported its role. */
  UNKNOWN;

  /** Returns {@link #PRIMARY} or {@link #REPLICA}. */
  public static HostRole of(boolean isPrimary) {
    return isPrimary ? PRIMARY : REPLICA;
  }

  /** Returns whether the host has reported its role. */
  public boolean isKnown() {
    return this != UNKNOWN;
  }
}
