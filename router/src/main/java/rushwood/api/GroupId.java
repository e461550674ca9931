package rushwood.api;

/** Identifies a group of hosts that hold the same data. */
public record GroupId(int value) {
  /** The group of a host or request for which no group is given. */
  public static final GroupId UNKNOWN = new GroupId(-1);

  @Override
  public String toString() {
    return Integer.toString(value);
  }
}
