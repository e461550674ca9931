package rushwood.api;

/** Identifies a group of hosts that hold the same data. */
public record GroupId(int value) {
  @Override
  public String toString() {
    return Integer.toString(value);
  }
}
