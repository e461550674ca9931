package rushwood.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RetryAfterScheduleTest {
  private static final long MS = 1_000_000L;

  /** No wait exceeds the maximum, and no slot holds more reservations than expected requests. */
  @Test
  void scheduleReservesUpToCapacity() {
    RetryAfterSchedule schedule = new RetryAfterSchedule(500 * MS);
    schedule.setExpectedRate(1000); // ten a slot
    int[] slots = new int[51];
    int reserved = 0;
    for (int i = 0; i < 1000; i++) {
      RetryAfterSchedule.Reservation reservation = schedule.reserve(0, 1, true, 0, 500 * MS);
      assertTrue(reservation.waitNanos() > 0 && reservation.waitNanos() <= 500 * MS);
      if (reservation.reserved()) {
        reserved++;
        slots[(int) (reservation.waitNanos() / RetryAfterSchedule.SLOT_NANOS)]++;
      }
    }
    assertEquals(500, reserved, "fifty slots of ten");
    for (int count : slots) {
      assertTrue(count <= 10);
    }
    assertFalse(schedule.reserve(0, 1, true, 0, 500 * MS).reserved());
    assertTrue(
        schedule.reserve(200 * MS, 1, true, 0, 500 * MS).reserved(),
        "slots of the past are reused");
  }

  /**
   * Waiting requests come first, low priority leaves a quarter of a slot, one group leaves half of
   * it to the others.
   */
  @Test
  void scheduleSharesCapacityByPriorityAndGroup() {
    RetryAfterSchedule schedule = new RetryAfterSchedule(500 * MS);
    schedule.setExpectedRate(1000);
    assertTrue(schedule.reserve(0, 1, true, 300, 500 * MS).waitNanos() >= 300 * MS);
    assertFalse(schedule.reserve(0, 1, true, 600, 500 * MS).reserved());
    assertFalse(
        schedule.reserve(0, 1, true, 300, 200 * MS).reserved(),
        "no capacity within its maximum wait");
    RetryAfterSchedule lowPriority = new RetryAfterSchedule(100 * MS);
    lowPriority.setExpectedRate(1000);
    int reserved = 0;
    while (lowPriority.reserve(0, 1, false, 0, 100 * MS).reserved()) {
      reserved++;
    }
    assertEquals(70, reserved, "seven of ten in each of ten slots");
    RetryAfterSchedule shared = new RetryAfterSchedule(100 * MS);
    shared.setExpectedRate(1000);
    shared.reserve(0, 2, true, 0, 100 * MS);
    reserved = 0;
    while (shared.reserve(0, 1, true, 0, 100 * MS).reserved()) {
      reserved++;
    }
    assertEquals(50, reserved);
    assertTrue(shared.reserve(0, 2, true, 0, 100 * MS).reserved(), "the other group has its share");
  }

  /** At 25 requests a second every fourth slot has room for one. */
  @Test
  void scheduleWithLessThanOneReservationPerSlot() {
    RetryAfterSchedule schedule = new RetryAfterSchedule(500 * MS);
    schedule.setExpectedRate(25);
    int reserved = 0;
    while (schedule.reserve(0, 1, true, 0, 500 * MS).reserved()) {
      reserved++;
    }
    assertTrue(reserved >= 12 && reserved <= 13, reserved + " in half a second of 25 a second");
    RetryAfterSchedule unknownRate = new RetryAfterSchedule(500 * MS);
    assertEquals(500 * MS, unknownRate.reserve(0, 1, true, 0, 500 * MS).waitNanos());
  }
}
