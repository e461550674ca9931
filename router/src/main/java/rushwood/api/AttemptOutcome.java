package rushwood.api;

/** How an attempt ended. */
public enum AttemptOutcome {
  /** The host answered the request. */
  SUCCESS(true, false),
  /** The host answered with an error, which leaves open whether it ran the request. */
  ERROR(true, false),
  /** The host answered, but its answer violates the protocol. */
  MALFORMED(true, false),
  /** The host refused the attempt because it is overloaded. */
  OVERLOADED(true, true),
  /** The host refused a read because it lags too far behind, or a write because it is a replica. */
  REPLICA_LAGGING(true, true),
  /** No answer arrived within the timeout of the attempt. */
  TIMED_OUT(false, false),
  /** The connection was lost after the whole statement was written and before an answer. */
  CONNECTION_LOST(false, false),
  /** The router cancelled the attempt. */
  CANCELLED(false, false),
  /** No connection to the host could be opened. */
  CONNECT_FAILED(false, true),
  /** The statement was not written to a connection, or only in part. */
  NOT_SENT(false, true);

  private final boolean isHostResponse;
  private final boolean provesNotExecuted;

  AttemptOutcome(boolean isHostResponse, boolean provesNotExecuted) {
    this.isHostResponse = isHostResponse;
    this.provesNotExecuted = provesNotExecuted;
  }

  /** Returns whether the outcome was reported by the host itself. */
  public boolean isHostResponse() {
    return isHostResponse;
  }

  /** Returns whether this outcome proves that the host never ran the request. */
  public boolean provesNotExecuted() {
    return provesNotExecuted;
  }
}
