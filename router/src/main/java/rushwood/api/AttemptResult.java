package rushwood.api;

/**
 * The end of an attempt, as the routing policy is told of it.
 *
 * @param attemptNumber the number of the attempt among those of its request, from 0
 * @param durationNanos the time since the attempt was sent
 * @param requestFinished whether the request needs no final answer from the policy any more: its
 *     client has the answer, or has gone
 * @param role the role that the host claimed with its answer
 * @param position the position at which a read was answered or a write was committed, as a clock
 *     time in nanoseconds, or {@link #NO_POSITION}; see {@link #hasPosition()}
 */
public record AttemptResult(
    RequestId request,
    int attemptNumber,
    HostId host,
    AttemptOutcome outcome,
    long durationNanos,
    boolean requestFinished,
    HostRole role,
    long position,
    LoadReport report) {

  /** The position where the host did not say one; any negative number counts as this. */
  public static final long NO_POSITION = -1;

  /** Whether the host gave a position. */
  public boolean hasPosition() {
    return position >= 0;
  }
}
