package rushwood.api;

public record SessionId(String value) {
  @Override
  public String toString() {
    return value;
  }
}
