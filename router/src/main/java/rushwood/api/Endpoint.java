package rushwood.api;

/** A host as the host list names it. {@code startedAt} is 0 for long ago. */
public record Endpoint(
    HostId id,
    GroupId group,
    ZoneId zone,
    double weight,
    long startedAt,
    boolean primary,
    State state) {

  public enum State {
    READY,
    DRAINING,
    REMOVED
  }
}
