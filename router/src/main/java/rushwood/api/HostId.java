package rushwood.api;

/** Names a host. */
public record HostId(String value) {
  @Override
  public String toString() {
    return value;
  }
}
