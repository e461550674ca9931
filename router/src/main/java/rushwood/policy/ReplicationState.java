package rushwood.policy;

import rushwood.api.Times;

/**
 * What a router has heard of a host's replication: its position and its role. Times are clock times
 * in nanoseconds, {@link Times#LONG_AGO} where nothing has been heard yet.
 */
final class ReplicationState {
  private long position = Times.LONG_AGO;
  private long positionReportedAt = Times.LONG_AGO;
  private long readRefusedAt = Times.LONG_AGO;
  private long writeRefusedAt = Times.LONG_AGO;
  private long roleKnownAt = Times.LONG_AGO;

  /** How far the host has applied the log, as a time; it may have applied more by now. */
  long position() {
    return position;
  }

  /** When the position was last heard. */
  long positionReportedAt() {
    return positionReportedAt;
  }

  /** Takes in a reported position. Positions never go back; one in the future cannot be true. */
  void recordPosition(long reported, long now) {
    if (reported <= now) {
      position = Math.max(position, reported);
      positionReportedAt = now;
    }
  }

  /** When the host last refused a read because it lagged too far behind. */
  long readRefusedAt() {
    return readRefusedAt;
  }

  void readRefused(long now) {
    readRefusedAt = now;
  }

  /** When the host last refused a write because it was not the primary. */
  long writeRefusedAt() {
    return writeRefusedAt;
  }

  void writeRefused(long now) {
    writeRefusedAt = now;
  }

  /** The time of the latest evidence of the host's role. */
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
