package rushwood.api;

/** Identifies a zone; the hosts of a zone may fail together. */
public record ZoneId(String value) {
  @Override
  public String toString() {
    return value;
  }
}
