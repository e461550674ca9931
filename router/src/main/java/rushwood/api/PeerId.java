package rushwood.api;

/** Identifies another router of the same tier. */
public record PeerId(int value) {
  @Override
  public String toString() {
    return Integer.toString(value);
  }
}
