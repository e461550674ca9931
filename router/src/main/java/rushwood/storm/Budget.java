package rushwood.storm;

/**
 * How many further shots there may be: a share of the first ones, and a few a second whatever
 * comes.
 */
public final class Budget {
  private final double share;
  private final double floor;
  private final double most;
  private double left;
  private long at = Long.MIN_VALUE;

  /** With the share of first shots, and the floor a second. */
  public Budget(double share, double floor) {
    this.share = share;
    this.floor = floor;
    most =
        Math.max(
            10,
            floor * 2); // two seconds of the floor may be saved: a host's death breaks many at once
    left = most;
  }

  public void first(long now) {
    flow(now);
    left = Math.min(most, left + share);
  }

  public void further(long now) {
    flow(now);
    left = Math.max(0, left - 1);
  }

  public boolean allows(long now) {
    flow(now);
    return left >= 1;
  }

  private void flow(long now) {
    if (at != Long.MIN_VALUE && now > at) {
      left = Math.min(most, left + floor * (now - at) / 1e9);
    }
    at = Math.max(at, now);
  }
}
