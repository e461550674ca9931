package rushwood.api;

/**
 * A host as discovery lists it.
 *
 * @param weight the host's capacity in relation to other hosts
 * @param startedAt the clock time at which its process started, 0 for long ago
 * @param primary whether discovery takes it for the primary of its group; it may be late
 */
public record Endpoint(
    HostId id,
    GroupId group,
    ZoneId zone,
    double weight,
    long startedAt,
    boolean primary,
    State state) {

  /** What discovery says of a host. */
  public enum State {
    /** It serves. */
    READY,
    /** It is about to leave: nothing new may be sent to it. */
    DRAINING,
    /** It is not in the list any more. */
    REMOVED
  }
}
