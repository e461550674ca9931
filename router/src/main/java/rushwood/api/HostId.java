package rushwood.api;

public record HostId(String value) {
  @Override
  public String toString() {
    return value;
  }
}
