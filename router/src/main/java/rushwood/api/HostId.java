package rushwood.api;

/** Identifies a host. */
public record HostId(String value) {
  @Override
  public String toString() {
    return value;
  }
}
