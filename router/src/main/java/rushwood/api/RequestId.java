package rushwood.api;

/** Identifies a request; each request of a client has a new one. */
public record RequestId(String value) {
  @Override
  public String toString() {
    return value;
  }
}
