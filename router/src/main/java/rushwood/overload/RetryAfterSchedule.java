package rushwood.overload;

import java.util.Arrays;

/**
 * When those that are turned back are to return: a wheel of slots ahead of now, each with as many
 * places as hosts are expected to get through in it. A booking takes the first slot with a place
 * for its kind; the wait that is told is the way to there. When no place is left it is the longest
 * wait, and not booked. Memory is fixed: slots that have passed are used again.
 */
public final class RetryAfterSchedule {
  /** A wait in nanoseconds; {@code booked} if a place was kept for it. */
  public record Reservation(long waitNanos, boolean reserved) {}

  public static final long SLOT_NANOS =
      10_000_000L; // finer than any wait told matters, coarser than a turn of the loop

  private static final int SHARES =
      32; // groups by their number's rest: two that share one share its part too
  private static final double MAX_SHARE_OF_ONE =
      0.5; // of a slot's places for one group, once others came lately
  private static final double LOW_PRIORITY_PART =
      0.75; // of a slot's places for accesses that earn little: some stay for the rest
  private static final long RECENT_NANOS = 2_000_000_000L; // another group was heard: a few waits

  private final int slotCount;
  private final long maxWaitNanos;
  private final int[] reservedInSlot;
  private final int[][] reservedByShare;
  private final long[] slotNumbers;
  private final long[] lastReservedAt = new long[SHARES];
  private double capacityPerSlot;

  /** With the longest wait that may be told, in nanoseconds. */
  public RetryAfterSchedule(long maxWaitNanos) {
    this.maxWaitNanos = maxWaitNanos;
    slotCount = (int) Math.max(1, maxWaitNanos / SLOT_NANOS);
    reservedInSlot = new int[slotCount + 1];
    reservedByShare = new int[slotCount + 1][SHARES];
    slotNumbers = new long[slotCount + 1];
    Arrays.fill(lastReservedAt, Long.MIN_VALUE / 2);
  }

  public long memoryBytes() {
    return (long) (slotCount + 1) * (4 + 4 * SHARES + 8) + 8 * SHARES;
  }

  /** How many accesses hosts are expected to get through in a second. */
  public void setExpectedRate(double requestsPerSecond) {
    capacityPerSlot = requestsPerSecond * SLOT_NANOS / 1e9;
  }

  /**
   * Books a return. {@code ahead} accesses wait here already and come first; {@code high}: it earns
   * as much as any; {@code leavesIn}: how long its client may be back, which one with little time
   * left gets nothing beyond.
   */
  public Reservation reserve(
      long now, int group, boolean highPriority, double ahead, long maxWait) {
    int share = Math.floorMod(group, SHARES);
    lastReservedAt[share] = now;
    boolean others = false;
    for (int i = 0; i < SHARES && !others; i++) {
      others = i != share && lastReservedAt[i] > now - RECENT_NANOS;
    }
    double capacity = capacityPerSlot * (highPriority ? 1 : LOW_PRIORITY_PART);
    double shareCapacity = others ? capacityPerSlot * MAX_SHARE_OF_ONE : capacity;
    long first =
        now / SLOT_NANOS
            + 1
            + (capacityPerSlot > 0
                ? (long) Math.min(slotCount, ahead / capacityPerSlot)
                : slotCount);
    long last = now / SLOT_NANOS + Math.min(slotCount, Math.max(1, maxWait / SLOT_NANOS));
    for (long slot = first; slot <= last; slot++) {
      int index = slotIndex(slot);
      // Where less than one fits into a slot it is booked by the first that comes and counts for
      // the next.
      if (reservedInSlot[index] + 1 <= Math.max(1, capacity)
          && reservedByShare[index][share] + 1 <= Math.max(1, shareCapacity)) {
        long lastOfReservation =
            Math.min(last, slot + (long) Math.ceil(1 / Math.max(1e-3, capacityPerSlot)) - 1);
        for (long each = slot; each <= Math.max(slot, lastOfReservation); each++) {
          reservedInSlot[slotIndex(each)]++;
          reservedByShare[slotIndex(each)][share]++;
        }
        return new Reservation(
            Math.min(maxWaitNanos, Math.max(SLOT_NANOS, slot * SLOT_NANOS - now)), true);
      }
    }
    return new Reservation(maxWaitNanos, false);
  }

  /** Where a slot is kept; what stood there for one that has passed is gone. */
  private int slotIndex(long slot) {
    int index = (int) (slot % (slotCount + 1));
    if (slotNumbers[index] != slot) {
      slotNumbers[index] = slot;
      reservedInSlot[index] = 0;
      Arrays.fill(reservedByShare[index], 0);
    }
    return index;
  }
}
