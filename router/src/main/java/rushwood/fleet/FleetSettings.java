package rushwood.fleet;

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
public record FleetSettings(
    long period,
    long ackWithin,
    int indirect,
    long suspicionMin,
    long suspicionMax,
    int confirmations,
    int sends,
    long deadKeep,
    long settleAfter,
    int healthMost) {
  private static final long MS = 1_000_000L;

  public FleetSettings {
    need(period > 0, "period", "must be above zero");
    need(
        ackWithin > 0 && ackWithin < period,
        "ack_within",
        "must be above zero and under the period");
    need(indirect >= 0 && indirect <= 8, "indirect", "must be 0 to 8");
    need(suspicionMin >= period, "suspicion_min", "must be one period at least");
    need(suspicionMax >= suspicionMin, "suspicion_max", "must be suspicion_min at least");
    need(confirmations >= 1, "confirmations", "must be 1 at least");
    need(sends >= 1 && sends <= 16, "sends", "must be 1 to 16");
    need(deadKeep >= suspicionMax, "dead_keep", "must be suspicion_max at least");
    need(settleAfter >= period, "settle_after", "must be one period at least");
    need(healthMost >= 0 && healthMost <= 8, "health_most", "must be 0 to 8");
  }

  /**
   * Memberlist's figures for a local network (period 1 s, ack 0.5 s, 3 relays, suspicion 4 to 6
   * periods, 4 sends a log), made four times quicker: our routers are restarted within two seconds,
   * and a view that takes ten to settle is of no use on a day of half a minute.
   */
  public static FleetSettings defaults() {
    return new FleetSettings(
        250 * MS, 100 * MS, 3, 1_000 * MS, 3_000 * MS, 3, 4, 30_000 * MS, 1_000 * MS, 8);
  }

  private static void need(boolean holds, String field, String reason) {
    if (!holds) {
      throw new IllegalArgumentException("fleet." + field + " " + reason);
    }
  }
}
