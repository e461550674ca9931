package rushwood.api;

/**
 * What a host reports about itself with an answer or in response to a health check.
 *
 * @param position the replication position up to which the host has applied the log, as a clock
 *     time in nanoseconds; NaN if the host did not report it
 * @param role the role of the host; {@link HostRole#UNKNOWN} if the host did not report it
 */
public record LoadReport(double position, HostRole role) {
  /** A report without any values. */
  public static final LoadReport NONE = new LoadReport(Double.NaN, HostRole.UNKNOWN);

  /** Returns whether the host reported a position. */
  public boolean hasPosition() {
    return !Double.isNaN(position);
  }
}
