package rushwood.api;

public record RequestId(String value) {
  @Override
  public String toString() {
    return value;
  }
}
