package rushwood.membership;

/**
 * The figures of membership, times in nanoseconds. {@code period}: between probes; {@code
 * ackWithin}: for a direct ack, before indirect probes go out; {@code indirect}: how many members
 * relay a probe that was missed; {@code suspicionMin} and {@code suspicionMax}: how long a suspect
 * stays so, with many confirmations and with none; {@code confirmations}: how many shrink it to the
 * least; {@code sends}: how often each word is passed on, times log2 of the view's size plus one;
 * {@code deadKeep}: how long a dead or left member is remembered; {@code settleAfter}: a view that
 * has not changed for so long has settled; {@code healthMost}: the most that this router's own
 * misses lengthen its timeouts, in periods.
 */
public record MembershipSettings(
    long probePeriodNanos,
    long ackTimeoutNanos,
    int indirectProbes,
    long minSuspicionNanos,
    long maxSuspicionNanos,
    int maxConfirmations,
    int retransmitMultiplier,
    long deadRetentionNanos,
    long stableAfterNanos,
    int maxLocalHealthScore) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  public MembershipSettings {
    require(probePeriodNanos > 0, "period", "must be above zero");
    require(
        ackTimeoutNanos > 0 && ackTimeoutNanos < probePeriodNanos,
        "ack_within",
        "must be above zero and under the period");
    require(indirectProbes >= 0 && indirectProbes <= 8, "indirect", "must be 0 to 8");
    require(minSuspicionNanos >= probePeriodNanos, "suspicion_min", "must be one period at least");
    require(
        maxSuspicionNanos >= minSuspicionNanos, "suspicion_max", "must be suspicion_min at least");
    require(maxConfirmations >= 1, "confirmations", "must be 1 at least");
    require(retransmitMultiplier >= 1 && retransmitMultiplier <= 16, "sends", "must be 1 to 16");
    require(deadRetentionNanos >= maxSuspicionNanos, "dead_keep", "must be suspicion_max at least");
    require(stableAfterNanos >= probePeriodNanos, "settle_after", "must be one period at least");
    require(maxLocalHealthScore >= 0 && maxLocalHealthScore <= 8, "health_most", "must be 0 to 8");
  }

  /**
   * Memberlist's figures for a local network (period 1 s, ack 0.5 s, 3 relays, suspicion 4 to 6
   * periods, 4 sends a log), made four times quicker: our routers are restarted within two seconds,
   * and a view that takes ten to settle is of no use on a day of half a minute.
   */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        250 * NANOS_PER_MILLI,
        100 * NANOS_PER_MILLI,
        3,
        1_000 * NANOS_PER_MILLI,
        3_000 * NANOS_PER_MILLI,
        3,
        4,
        30_000 * NANOS_PER_MILLI,
        1_000 * NANOS_PER_MILLI,
        8);
  }

  private static void require(boolean holds, String field, String reason) {
    if (!holds) {
      throw new IllegalArgumentException("fleet." + field + " " + reason);
    }
  }
}
