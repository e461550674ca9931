package rushwood.api;

/** Identifies a zone, in which hosts may fail together. */
public record ZoneId(String value) {
  @Override
  public String toString() {
    return value;
  }
}
