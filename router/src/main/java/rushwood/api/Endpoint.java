package rushwood.api;

/**
 * A host as discovery lists it.
 *
 * @param weight the host's capacity relative to other hosts
 * @param startedAt the clock time in nanoseconds at which the host's process started, 0 if that was
 *     long ago or is unknown
 * @param primary whether discovery lists the host as the primary of its group; discovery may be
 *     late to notice a change of the primary
 */
public record Endpoint(
    HostId id,
    GroupId group,
    ZoneId zone,
    double weight,
    long startedAt,
    boolean primary,
    State state) {

  /** The state of a host in the endpoint list. */
  public enum State {
    /** The host serves requests. */
    READY,
    /** The host is about to leave: no new attempts may be sent to it. */
    DRAINING,
    /** The host was removed from the list. */
    REMOVED
  }
}
