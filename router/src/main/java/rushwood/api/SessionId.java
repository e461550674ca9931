package rushwood.api;

/** Identifies a session of a client, in which reads can be required to see earlier writes. */
public record SessionId(String value) {
  @Override
  public String toString() {
    return value;
  }
}
