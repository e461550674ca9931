package rushwood.membership;

/**
 * The parameters of the membership protocol.
 *
 * @param probePeriodNanos time between the starts of two probes; positive
 * @param ackTimeoutNanos time after which a probe without an ack is repeated through other members;
 *     positive and less than {@code probePeriodNanos}
 * @param indirectProbes number of members that are asked to relay such a probe; 0 to 8
 * @param minSuspicionNanos time from suspicion to the declaration of death with {@code
 *     maxConfirmations} confirmations; at least {@code probePeriodNanos}
 * @param maxSuspicionNanos time from suspicion to the declaration of death without confirmations;
 *     at least {@code minSuspicionNanos}
 * @param maxConfirmations number of confirmations at which the suspicion timeout is {@code
 *     minSuspicionNanos}, and maximum number of members counted as suspecting another; at least 1
 * @param retransmitMultiplier number of times that an update is sent, per doubling of the member
 *     count; 1 to 16
 * @param deadRetentionNanos time during which a dead member is still probed occasionally; at least
 *     {@code maxSuspicionNanos}
 * @param stableAfterNanos time without a change of any member's state after which the view counts
 *     as stable; at least {@code probePeriodNanos}
 * @param maxLocalHealthScore maximum of the local health score; timeouts are multiplied by the
 *     score plus 1; 0 to 8
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
  private static final int MAX_INDIRECT_PROBES = 8;
  private static final int MAX_RETRANSMIT_MULTIPLIER = 16;
  private static final int MAX_HEALTH_SCORE = 8;

  /**
   * Validates the parameters.
   *
   * @throws InvalidSettingException for the first parameter that is out of bounds
   */
  public MembershipSettings {
    require(probePeriodNanos > 0, "probePeriodNanos", "must be positive");
    require(
        ackTimeoutNanos > 0 && ackTimeoutNanos < probePeriodNanos,
        "ackTimeoutNanos",
        "must be positive and less than probePeriodNanos");
    requireBetween(0, MAX_INDIRECT_PROBES, indirectProbes, "indirectProbes");
    require(
        minSuspicionNanos >= probePeriodNanos,
        "minSuspicionNanos",
        "must be at least probePeriodNanos");
    require(
        maxSuspicionNanos >= minSuspicionNanos,
        "maxSuspicionNanos",
        "must be at least minSuspicionNanos");
    require(maxConfirmations >= 1, "maxConfirmations", "must be at least 1");
    requireBetween(1, MAX_RETRANSMIT_MULTIPLIER, retransmitMultiplier, "retransmitMultiplier");
    require(
        deadRetentionNanos >= maxSuspicionNanos,
        "deadRetentionNanos",
        "must be at least maxSuspicionNanos");
    require(
        stableAfterNanos >= probePeriodNanos,
        "stableAfterNanos",
        "must be at least probePeriodNanos");
    requireBetween(0, MAX_HEALTH_SCORE, maxLocalHealthScore, "maxLocalHealthScore");
  }

  /**
   * Returns the defaults. They follow memberlist's defaults for a local network (probe period 1 s,
   * ack timeout 0.5 s, 3 indirect probes, suspicion multipliers 4 and 6, retransmit multiplier 4)
   * with probe times about four times shorter: routers are restarted within 2 s, and a view that
   * takes 10 s to become stable would always be out of date.
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

  private static void requireBetween(int min, int max, int value, String field) {
    require(value >= min && value <= max, field, "must be between " + min + " and " + max);
  }

  private static void require(boolean condition, String field, String reason) {
    if (!condition) {
      throw new InvalidSettingException(field, reason);
    }
  }
}
