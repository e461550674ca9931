package rushwood.api;

/** Identifies a session of a client, within which its reads see its writes. */
public record SessionId(String value) {
  @Override
  public String toString() {
    return value;
  }
}
