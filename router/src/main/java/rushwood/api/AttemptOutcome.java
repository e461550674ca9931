package rushwood.api;

/** How an attempt ended. */
public enum AttemptOutcome {
  /** The host answered the request. */
  SUCCESS(true, false),
  /** The host answered with an error. */
  ERROR(true, false),
  /** The host answered, but what came does not follow the protocol. */
  MALFORMED(true, false),
  /** The host refused the attempt because it has too much to do. */
  OVERLOADED(true, true),
  /**
   * The host refused a read for which it lags too far behind, or a write because it is a replica.
   */
  REPLICA_LAGGING(true, true),
  /** No answer came in time. */
  TIMED_OUT(false, false),
  /** The connection ended without an answer after the whole statement was written. */
  CONNECTION_LOST(false, false),
  /** The router stopped the attempt. */
  CANCELLED(false, false),
  /** No connection to the host could be opened. */
  CONNECT_FAILED(false, true),
  /** The statement was not, or not wholly, written to any connection. */
  NOT_SENT(false, true);

  private final boolean isHostResponse;
  private final boolean provesNotExecuted;

  AttemptOutcome(boolean isHostResponse, boolean provesNotExecuted) {
    this.isHostResponse = isHostResponse;
    this.provesNotExecuted = provesNotExecuted;
  }

  /** Whether the host itself said so. */
  public boolean isHostResponse() {
    return isHostResponse;
  }

  /** Whether this outcome proves that the host never ran the request. */
  public boolean provesNotExecuted() {
    return provesNotExecuted;
  }
}
