package rushwood.api;

/**
 * The result of an attempt, as it is reported to the routing policy.
 *
 * @param request the request that the attempt belongs to
 * @param attemptNumber the number of the attempt among the attempts of its request, from 0
 * @param host the host that the attempt was sent to
 * @param durationNanos the time from the start of the attempt to its end
 * @param requestFinished whether the request needs no final answer from the policy any more,
 *     because its client has received an answer or has disconnected
 * @param role the role that the host reported with its answer
 * @param position the replication position at which a read was answered or a write was committed,
 *     as a clock time in nanoseconds; {@link #NO_POSITION} if the host did not report it
 * @param report the load report that came with the answer; {@link LoadReport#NONE} if there is none
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

  /** The position if the host reported none. Any other negative number means the same. */
  public static final long NO_POSITION = -1;

  /** Returns whether the host reported a position. */
  public boolean hasPosition() {
    return position >= 0;
  }
}
