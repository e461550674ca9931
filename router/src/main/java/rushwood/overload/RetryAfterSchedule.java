package rushwood.overload;

import java.util.Arrays;
import rushwood.api.Times;

/**
 * Spreads the times at which rejected clients return: a wheel of slots ahead of now, each with room
 * for as many requests as the hosts are expected to serve in it.
 *
 * <p>A reservation takes the first slot with room behind the time when the requests that wait now
 * are served, and its wait is the time until then. Where no slot has room the wait is the maximum,
 * without a reservation. Requests of high priority may use all of a slot, others leave a part of it
 * free ({@link #MAX_LOW_PRIORITY_SHARE}); one group leaves a part to the others while there are any
 * ({@link #MAX_SHARE_OF_ONE_GROUP}).
 *
 * <p>Times are clock times in nanoseconds. Memory is fixed: slots of the past are reused.
 */
public final class RetryAfterSchedule {
  /** A wait in nanoseconds; {@code reserved} if a slot has room for its request then. */
  public record Reservation(long waitNanos, boolean reserved) {}

  /** The length of a slot: finer than clients' waits need, coarser than a turn of the loop. */
  public static final long SLOT_NANOS = 10_000_000L;

  // Groups whose numbers are equal modulo this count as one.
  private static final int GROUP_BUCKETS = 32;
  // Of a slot, while several groups are active.
  private static final double MAX_SHARE_OF_ONE_GROUP = 0.5;
  // Of a slot, for requests of low priority.
  private static final double MAX_LOW_PRIORITY_SHARE = 0.75;
  // A group counts as active for so long after a reservation: a few waits.
  private static final long GROUP_ACTIVE_NANOS = 2_000_000_000L;
  private static final double NANOS_PER_SECOND = 1e9;
  // Slots that one reservation takes at most: 1 / MIN_CAPACITY_PER_SLOT.
  private static final double MIN_CAPACITY_PER_SLOT = 1e-3;

  private final int slotCount;
  private final long maxWaitNanos;
  private final int[] reservedInSlot;
  private final int[][] reservedByGroupBucket;
  private final long[] slotNumbers;
  private final long[] lastActiveAt = new long[GROUP_BUCKETS];
  private double capacityPerSlot;

  /** Creates an empty schedule that tells no wait longer than {@code maxWaitNanos}. */
  public RetryAfterSchedule(long maxWaitNanos) {
    this.maxWaitNanos = maxWaitNanos;
    slotCount = (int) Math.max(1, maxWaitNanos / SLOT_NANOS);
    reservedInSlot = new int[slotCount + 1];
    reservedByGroupBucket = new int[slotCount + 1][GROUP_BUCKETS];
    slotNumbers = new long[slotCount + 1];
    Arrays.fill(lastActiveAt, Times.LONG_AGO);
  }

  /** Sets how many requests a second the hosts are expected to serve; 0 if that is unknown. */
  public void setExpectedRate(double requestsPerSecond) {
    capacityPerSlot = requestsPerSecond * SLOT_NANOS / NANOS_PER_SECOND;
  }

  /**
   * Reserves the return of a request in the first slot that has room for it.
   *
   * @param group the number of its group
   * @param highPriority whether it may use all of a slot
   * @param pendingRequests how many requests wait here already and are served first
   * @param clientMaxWaitNanos the longest wait after which its client may still return
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
    long current = now / SLOT_NANOS;
    long first = current + 1 + slotsUntilServed(pendingRequests);
    long last = current + Math.min(slotCount, Math.max(1, clientMaxWaitNanos / SLOT_NANOS));
    for (long slot = first; slot <= last; slot++) {
      if (hasRoom(slot, groupBucket, capacity, groupCapacity)) {
        occupy(slot, last, groupBucket);
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

  /** Whether one more fits; a slot has room for one at least, however slow the hosts are. */
  private boolean hasRoom(long slot, int groupBucket, double capacity, double groupCapacity) {
    int index = slotIndex(slot);
    return reservedInSlot[index] + 1 <= Math.max(1, capacity)
        && reservedByGroupBucket[index][groupBucket] + 1 <= Math.max(1, groupCapacity);
  }

  /**
   * Takes room for one request: where less than one fits into a slot, in as many slots as the hosts
   * need to serve it.
   */
  private void occupy(long slot, long last, int groupBucket) {
    double capacity = Math.max(MIN_CAPACITY_PER_SLOT, capacityPerSlot);
    long end = Math.min(last, slot + (long) Math.ceil(1 / capacity) - 1);
    for (long taken = slot; taken <= Math.max(slot, end); taken++) {
      int index = slotIndex(taken);
      reservedInSlot[index]++;
      reservedByGroupBucket[index][groupBucket]++;
    }
  }

  /** The index of a slot in the wheel; clears it where a slot of the past is still there. */
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
