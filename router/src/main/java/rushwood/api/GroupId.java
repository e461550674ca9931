package rushwood.api;

public record GroupId(int value) {
  @Override
  public String toString() {
    return Integer.toString(value);
  }
}
