package rushwood.api;

/** Identifies a request; clients send a new id with every request. */
public record RequestId(String value) {
  @Override
  public String toString() {
    return value;
  }
}
