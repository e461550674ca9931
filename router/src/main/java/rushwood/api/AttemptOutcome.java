package rushwood.api;

/**
 * How a shot ended: whether the host itself said so, and whether that end proves that it never ran.
 * SPOILT: it answered, but what came cannot be read.
 */
public enum AttemptOutcome {
  SUCCESS(true, false),
  ERROR(true, false),
  MALFORMED(true, false),
  OVERLOADED(true, true),
  REPLICA_LAGGING(true, true),
  TIMED_OUT(false, false),
  CONNECTION_LOST(false, false),
  CANCELLED(false, false),
  CONNECT_FAILED(false, true),
  NOT_SENT(false, true);

  private final boolean isHostResponse;
  private final boolean provesNotExecuted;

  AttemptOutcome(boolean isHostResponse, boolean provesNotExecuted) {
    this.isHostResponse = isHostResponse;
    this.provesNotExecuted = provesNotExecuted;
  }

  public boolean isHostResponse() {
    return isHostResponse;
  }

  public boolean provesNotExecuted() {
    return provesNotExecuted;
  }
}
