package rushwood.membership;

/**
 * The parameters of membership.
 *
 * @param probePeriodNanos between the starts of two probes
 * @param ackTimeoutNanos until a probe without an ack is tried through other members; below the
 *     period
 * @param indirectProbes how many members are asked to relay such a probe; 0 to 8
 * @param minSuspicionNanos from suspicion to death with {@code maxConfirmations}; one period at
 *     least
 * @param maxSuspicionNanos from suspicion to death without a confirmation
 * @param maxConfirmations how many independent confirmations count; 1 at least
 * @param retransmitMultiplier sends of an update, for each doubling of the member count; 1 to 16
 * @param deadRetentionNanos how long a dead member is still probed now and then; {@code
 *     maxSuspicionNanos} at least
 * @param stableAfterNanos a view that has not changed for so long is stable; one period at least
 * @param maxLocalHealthScore the highest local health score, which plus 1 multiplies timeouts; 0 to
 *     8
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
   * Checks the bounds.
   *
   * @throws InvalidSettingException for the first parameter outside its bounds
   */
  public MembershipSettings {
    require(probePeriodNanos > 0, "probePeriodNanos", "must be above zero");
    require(
        ackTimeoutNanos > 0 && ackTimeoutNanos < probePeriodNanos,
        "ackTimeoutNanos",
        "must be above zero and below probePeriodNanos");
    requireBetween(0, MAX_INDIRECT_PROBES, indirectProbes, "indirectProbes");
    require(
        minSuspicionNanos >= probePeriodNanos,
        "minSuspicionNanos",
        "must be probePeriodNanos at least");
    require(
        maxSuspicionNanos >= minSuspicionNanos,
        "maxSuspicionNanos",
        "must be minSuspicionNanos at least");
    require(maxConfirmations >= 1, "maxConfirmations", "must be 1 at least");
    requireBetween(1, MAX_RETRANSMIT_MULTIPLIER, retransmitMultiplier, "retransmitMultiplier");
    require(
        deadRetentionNanos >= maxSuspicionNanos,
        "deadRetentionNanos",
        "must be maxSuspicionNanos at least");
    require(
        stableAfterNanos >= probePeriodNanos,
        "stableAfterNanos",
        "must be probePeriodNanos at least");
    requireBetween(0, MAX_HEALTH_SCORE, maxLocalHealthScore, "maxLocalHealthScore");
  }

  /**
   * Memberlist's values for a local network (period 1 s, ack 0.5 s, 3 relays, suspicion 4 to 6
   * periods, 4 sends for each doubling), made four times quicker: routers are restarted within two
   * seconds, and a view that takes ten to become stable would always be out of date.
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
    require(value >= min && value <= max, field, "must be " + min + " to " + max);
  }

  private static void require(boolean holds, String field, String reason) {
    if (!holds) {
      throw new InvalidSettingException(field, reason);
    }
  }
}
