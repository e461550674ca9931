package rushwood.overload;

import java.util.Arrays;
import rushwood.api.Times;

/**
 * Spreads the times at which rejected clients return: a timing wheel of future slots, each with
 * room for as many requests as the hosts are expected to serve during the slot.
 *
 * <p>A reservation takes the first slot with room after the time at which the pending requests are
 * expected to be served; the client waits until that slot. If no slot has room, the client waits
 * the maximum without a reservation. High-priority requests may fill a slot, others only up to
 * {@link #MAX_LOW_PRIORITY_SHARE}; while several groups are active, each may use at most {@link
 * #MAX_SHARE_OF_ONE_GROUP} of a slot.
 *
 * <p>Times are clock times in nanoseconds. Memory is fixed: past slots are reused.
 */
public final class RetryAfterSchedule {
  /**
   * The wait that a client is sent as its Retry-After.
   *
   * @param reserved whether the schedule has room for the request after that wait
   */
  public record Reservation(long waitNanos, boolean reserved) {}

  /**
   * The length of a slot in nanoseconds: finer than the waits of clients require, and coarser than
   * a turn of the event loop.
   */
  public static final long SLOT_NANOS = 10_000_000L;

  // Groups whose numbers are equal modulo this share a bucket and count as one group.
  private static final int GROUP_BUCKETS = 32;
  // The share of a slot that one group may use while several groups are active.
  private static final double MAX_SHARE_OF_ONE_GROUP = 0.5;
  // The share of a slot that requests without high priority may use.
  private static final double MAX_LOW_PRIORITY_SHARE = 0.75;
  // How long a group counts as active after it asked for a reservation: a few waits.
  private static final long GROUP_ACTIVE_NANOS = 2_000_000_000L;
  private static final double NANOS_PER_SECOND = 1e9;
  // Limits the slots that one reservation takes to 1 / MIN_CAPACITY_PER_SLOT.
  private static final double MIN_CAPACITY_PER_SLOT = 1e-3;

  private final int slotCount;
  private final long maxWaitNanos;
  private final int[] reservedInSlot;
  private final int[][] reservedByGroupBucket;
  private final long[] slotNumbers;
  private final long[] lastActiveAt = new long[GROUP_BUCKETS];
  private double capacityPerSlot;

  /** Creates an empty schedule whose waits are at most {@code maxWaitNanos}. */
  public RetryAfterSchedule(long maxWaitNanos) {
    this.maxWaitNanos = maxWaitNanos;
    slotCount = (int) Math.max(1, maxWaitNanos / SLOT_NANOS);
    reservedInSlot = new int[slotCount + 1];
    reservedByGroupBucket = new int[slotCount + 1][GROUP_BUCKETS];
    slotNumbers = new long[slotCount + 1];
    Arrays.fill(lastActiveAt, Times.LONG_AGO);
  }

  /**
   * Sets how many requests per second the hosts are expected to serve, 0 if unknown. No slot has
   * room until a rate is known.
   */
  public void setExpectedRate(double requestsPerSecond) {
    capacityPerSlot = requestsPerSecond * SLOT_NANOS / NANOS_PER_SECOND;
  }

  /**
   * Reserves room for the return of a request in the first slot that has room for it.
   *
   * @param group the number of the group of the request
   * @param highPriority whether the request may use the whole of a slot
   * @param pendingRequests how many requests are served before this one
   * @param clientMaxWaitNanos the longest wait after which the client may still return
   */
  public Reservation reserve(
      long now, int group, boolean highPriority, double pendingRequests, long clientMaxWaitNanos) {
    int groupBucket = Math.floorMod(group, GROUP_BUCKETS);
    lastActiveAt[groupBucket] = now;
    double capacity = capacityPerSlot * (highPriority ? 1 : MAX_LOW_PRIORITY_SHARE);
    double groupCapacity =
        isAnotherGroupActive(now, groupBucket)
            ? capacityPerSlot * MAX_SHARE_OF_ONE_GROUP
            : capacity;
    long currentSlot = now / SLOT_NANOS;
    long firstSlot = currentSlot + 1 + slotsUntilServed(pendingRequests);
    long lastSlot = currentSlot + Math.min(slotCount, Math.max(1, clientMaxWaitNanos / SLOT_NANOS));
    for (long slot = firstSlot; slot <= lastSlot; slot++) {
      if (hasRoom(slot, groupBucket, capacity, groupCapacity)) {
        occupy(slot, lastSlot, groupBucket);
        long waitNanos = Math.max(SLOT_NANOS, slot * SLOT_NANOS - now);
        return new Reservation(Math.min(maxWaitNanos, waitNanos), true);
      }
    }
    return new Reservation(maxWaitNanos, false);
  }

  private boolean isAnotherGroupActive(long now, int groupBucket) {
    for (int i = 0; i < GROUP_BUCKETS; i++) {
      if (i != groupBucket && lastActiveAt[i] > now - GROUP_ACTIVE_NANOS) {
        return true;
      }
    }
    return false;
  }

  private long slotsUntilServed(double pendingRequests) {
    return capacityPerSlot > 0
        ? (long) Math.min(slotCount, pendingRequests / capacityPerSlot)
        : slotCount;
  }

  /**
   * Returns whether a slot has room for another request. An empty slot always does, however slow
   * the hosts are.
   */
  private boolean hasRoom(long slot, int groupBucket, double capacity, double groupCapacity) {
    int index = slotIndex(slot);
    return reservedInSlot[index] + 1 <= Math.max(1, capacity)
        && reservedByGroupBucket[index][groupBucket] + 1 <= Math.max(1, groupCapacity);
  }

  /**
   * Takes room for one request. If the capacity of a slot is less than one request, the request
   * takes as many slots, up to {@code lastSlot}, as the hosts need to serve it.
   */
  private void occupy(long slot, long lastSlot, int groupBucket) {
    double capacity = Math.max(MIN_CAPACITY_PER_SLOT, capacityPerSlot);
    long end = Math.min(lastSlot, slot + (long) Math.ceil(1 / capacity) - 1);
    for (long taken = slot; taken <= Math.max(slot, end); taken++) {
      int index = slotIndex(taken);
      reservedInSlot[index]++;
      reservedByGroupBucket[index][groupBucket]++;
    }
  }

  /** Returns the index of a slot in the wheel, and clears it if it still holds a past slot. */
  private int slotIndex(long slot) {
    int index = (int) (slot % (slotCount + 1));
    if (slotNumbers[index] != slot) {
      slotNumbers[index] = slot;
      reservedInSlot[index] = 0;
      Arrays.fill(reservedByGroupBucket[index], 0);
    }
    return index;
  }
}
