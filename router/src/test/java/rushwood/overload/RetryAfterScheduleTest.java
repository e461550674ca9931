package rushwood.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import rushwood.overload.RetryAfterSchedule.Reservation;

class RetryAfterScheduleTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int GROUP = 1;
  private static final int OTHER_GROUP = 2;

  private static RetryAfterSchedule schedule(long maxWaitMillis, double expectedRate) {
    RetryAfterSchedule schedule = new RetryAfterSchedule(maxWaitMillis * NANOS_PER_MILLI);
    schedule.setExpectedRate(expectedRate);
    return schedule;
  }

  /** Reserves at time 0 for a high-priority request behind {@code pendingRequests} others. */
  private static Reservation reserveBehind(
      RetryAfterSchedule schedule, int pendingRequests, long maxWaitMillis) {
    return schedule.reserve(0, GROUP, true, pendingRequests, maxWaitMillis * NANOS_PER_MILLI);
  }

  /** Reserves at time 0 until there is no room; returns the number of reservations. */
  private static int reserveAll(
      RetryAfterSchedule schedule, boolean highPriority, long maxWaitMillis) {
    int reserved = 0;
    while (schedule
        .reserve(0, GROUP, highPriority, 0, maxWaitMillis * NANOS_PER_MILLI)
        .reserved()) {
      reserved++;
    }
    return reserved;
  }

  /** No wait exceeds the maximum, and no slot gets more reservations than its capacity. */
  @Test
  void scheduleReservesUpToCapacity() {
    RetryAfterSchedule schedule = schedule(500, 1000); // ten per slot
    int[] slots = new int[51];
    int reserved = 0;
    for (int i = 0; i < 1000; i++) {
      Reservation reservation = reserveBehind(schedule, 0, 500);
      assertTrue(reservation.waitNanos() > 0 && reservation.waitNanos() <= 500 * NANOS_PER_MILLI);
      if (reservation.reserved()) {
        reserved++;
        slots[(int) (reservation.waitNanos() / RetryAfterSchedule.SLOT_NANOS)]++;
      }
    }
    assertEquals(500, reserved, "fifty slots of ten");
    for (int count : slots) {
      assertTrue(count <= 10);
    }
    assertFalse(reserveBehind(schedule, 0, 500).reserved());
    assertTrue(
        schedule.reserve(200 * NANOS_PER_MILLI, GROUP, true, 0, 500 * NANOS_PER_MILLI).reserved(),
        "past slots are reused");
  }

  /**
   * Reservations come after pending requests, low-priority requests leave a quarter of each slot
   * free, and one group leaves half of each slot to others.
   */
  @Test
  void scheduleSharesCapacityByPriorityAndGroup() {
    RetryAfterSchedule schedule = schedule(500, 1000);
    assertTrue(reserveBehind(schedule, 300, 500).waitNanos() >= 300 * NANOS_PER_MILLI);
    assertFalse(reserveBehind(schedule, 600, 500).reserved());
    assertFalse(
        reserveBehind(schedule, 300, 200).reserved(),
        "no room within the maximum wait of the client");
    assertEquals(
        70,
        reserveAll(schedule(100, 1000), false, 100),
        "seven of ten requests in each of ten slots");
    RetryAfterSchedule shared = schedule(100, 1000);
    shared.reserve(0, OTHER_GROUP, true, 0, 100 * NANOS_PER_MILLI);
    assertEquals(50, reserveAll(shared, true, 100));
    assertTrue(
        shared.reserve(0, OTHER_GROUP, true, 0, 100 * NANOS_PER_MILLI).reserved(),
        "the other group has its share");
  }

  /** At 25 requests per second every fourth slot has room for one. */
  @Test
  void scheduleReservesSeveralSlotsPerRequestAtLowRate() {
    int reserved = reserveAll(schedule(500, 25), true, 500);
    assertTrue(
        reserved >= 12 && reserved <= 13,
        reserved + " reservations in half a second at 25 per second");
    RetryAfterSchedule unknownRate = new RetryAfterSchedule(500 * NANOS_PER_MILLI);
    assertEquals(500 * NANOS_PER_MILLI, reserveBehind(unknownRate, 0, 500).waitNanos());
  }
}
