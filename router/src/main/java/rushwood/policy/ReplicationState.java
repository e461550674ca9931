package rushwood.policy;

import rushwood.api.Times;

/**
 * The log position and the role of a host, as far as a router knows them. Times are clock times in
 * nanoseconds, {@link Times#LONG_AGO} if nothing is known yet.
 */
final class ReplicationState {
  private long position = Times.LONG_AGO;
  private long positionReportedAt = Times.LONG_AGO;
  private long readRefusedAt = Times.LONG_AGO;
  private long writeRefusedAt = Times.LONG_AGO;
  private long roleKnownAt = Times.LONG_AGO;

  /** Returns how far the host has applied the log, as a time; it may have applied more by now. */
  long position() {
    return position;
  }

  /** Returns when the last valid position report was received. */
  long positionReportedAt() {
    return positionReportedAt;
  }

  /**
   * Records a reported position. The position never goes back; a reported position in the future
   * cannot be true and is ignored.
   */
  void recordPosition(long reported, long now) {
    if (reported <= now) {
      position = Math.max(position, reported);
      positionReportedAt = now;
    }
  }

  /** Returns when the host last refused a read because it lagged too far behind. */
  long readRefusedAt() {
    return readRefusedAt;
  }

  void readRefused(long now) {
    readRefusedAt = now;
  }

  /** Returns when the host last refused a write because it was not the primary. */
  long writeRefusedAt() {
    return writeRefusedAt;
  }

  void writeRefused(long now) {
    writeRefusedAt = now;
  }

  /** Returns the time of the latest evidence of the host's role. */
  long roleKnownAt() {
    return roleKnownAt;
  }

  boolean isRoleKnown() {
    return roleKnownAt != Times.LONG_AGO;
  }

  void recordRoleEvidence(long evidenceAt) {
    roleKnownAt = Math.max(roleKnownAt, evidenceAt);
  }
}
