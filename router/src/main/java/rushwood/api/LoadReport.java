package rushwood.api;

/**
 * What a host reports of itself beside an answer or to a health check.
 *
 * @param position how far the host has applied the log, as a clock time in nanoseconds, or NaN if
 *     it did not say; see {@link #hasPosition()}
 * @param role the role that the host claims
 */
public record LoadReport(double position, HostRole role) {
  /** A report that says nothing. */
  public static final LoadReport NONE = new LoadReport(Double.NaN, HostRole.UNKNOWN);

  /** Whether the host gave a position. */
  public boolean hasPosition() {
    return !Double.isNaN(position);
  }
}
