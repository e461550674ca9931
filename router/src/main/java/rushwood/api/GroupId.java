package rushwood.api;

/** Identifies a group of hosts that hold the same data. */
public record GroupId(int value) {
  /** Stands for the group of a host or a request that names none. */
  public static final GroupId UNKNOWN = new GroupId(-1);

  @Override
  public String toString() {
    return Integer.toString(value);
  }
}
