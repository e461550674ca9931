package rushwood.api;

public record ZoneId(String value) {
  @Override
  public String toString() {
    return value;
  }
}
