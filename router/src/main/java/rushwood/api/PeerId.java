package rushwood.api;

public record PeerId(int value) {
  @Override
  public String toString() {
    return Integer.toString(value);
  }
}
