package rushwood.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rushwood.api.HostId;

/** The data structures of the module, against plain structures and at their bounds. */
class OverloadStructuresTest {
  private static final long MS = 1_000_000L;
  private static final HostId HOST = new HostId("a");

  /** Counts too many for one fingerprint in a hundred at most. */
  @Test
  void sketchNeverCountsFewerThanExactMap() {
    RepeatSketch sketch = new RepeatSketch(1 << 14, 1000 * MS);
    Map<Long, Integer> exact = new HashMap<>();
    SplittableRandom random = new SplittableRandom(3);
    for (int i = 0; i < 10_000; i++) {
      long fingerprint = random.nextLong(8_000);
      sketch.add(fingerprint, 500 * MS);
      exact.merge(fingerprint, 1, Integer::sum);
    }
    int overcounted = 0;
    for (long fingerprint = 0; fingerprint < 100_000; fingerprint++) {
      int expected = exact.getOrDefault(fingerprint, 0);
      int seen = sketch.count(fingerprint, 600 * MS);
      assertTrue(seen >= expected, "never too few");
      overcounted += seen > expected ? 1 : 0;
    }
    assertTrue(overcounted < 100_000 / 100, overcounted + " fingerprints counted too often");
    assertEquals(1 << 17, sketch.memoryBytes());
    assertTrue(
        sketch.count(exact.keySet().iterator().next(), 1600 * MS) > 0,
        "still counted one span later");
    assertEquals(
        0,
        sketch.count(exact.keySet().iterator().next(), 2700 * MS),
        "not counted after two spans");
  }

  @Test
  void sketchIsEmptyAfterLongPauseAndSaturates() {
    RepeatSketch sketch = new RepeatSketch(64, 100 * MS);
    sketch.add(1, 0);
    assertEquals(1, sketch.count(1, 150 * MS));
    assertEquals(0, sketch.count(1, 100_000 * MS));
    for (int i = 0; i < 1000; i++) {
      sketch.add(7, 100_000 * MS);
    }
    assertEquals(254, sketch.count(7, 100_000 * MS), "counts saturate");
  }

  /** A full bucket evicts the entry that expires first. */
  @Test
  void cacheKeepsLatestExpiryWithinFixedMemory() {
    FingerprintCache cache = new FingerprintCache(16);
    long bytes = cache.memoryBytes();
    for (long fingerprint = 1; fingerprint <= 10_000; fingerprint++) {
      cache.put(fingerprint, fingerprint * MS, fingerprint, 0);
    }
    int kept = 0;
    for (long fingerprint = 1; fingerprint <= 10_000; fingerprint++) {
      long value = cache.get(fingerprint, 0);
      assertTrue(value == -1 || value == fingerprint);
      kept += value == fingerprint ? 1 : 0;
    }
    assertEquals(64, kept);
    assertEquals(10_000, cache.get(10_000, 0));
    assertEquals(-1, cache.get(10_000, 10_000 * MS), "expired");
    cache.put(10_000, 20_000 * MS, 5, 0);
    assertEquals(5, cache.get(10_000, 0));
    cache.remove(10_000);
    assertEquals(-1, cache.get(10_000, 0));
    assertEquals(bytes, cache.memoryBytes());
  }

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

  /** A host that is down gets under fifty attempts in ten seconds, whatever the load. */
  @Test
  void connectAttemptsAreLimitedAfterFailures() {
    ConnectBackoff backoff = new ConnectBackoff(new SplittableRandom(9), true);
    int attempts = 0;
    for (long at = 0; at < 10_000 * MS; at += MS) {
      for (int i = 0; i < 20; i++) {
        if (backoff.isAttemptAllowed(HOST, at)) {
          backoff.attemptStarted(HOST);
          attempts++;
          backoff.attemptFailed(HOST, at);
        }
      }
    }
    assertTrue(attempts > 15 && attempts < 50, attempts + " in ten seconds");
    long at = 11_000 * MS;
    assertTrue(backoff.isAttemptAllowed(HOST, at));
    backoff.attemptStarted(HOST);
    assertFalse(backoff.isAttemptAllowed(HOST, at), "one at a time");
    backoff.attemptSucceeded(HOST);
    backoff.attemptStarted(HOST);
    assertTrue(
        backoff.isAttemptAllowed(HOST, at), "a host that accepts connections is not limited");
    backoff.forget(HOST);
    backoff.attemptFailed(HOST, at);
    assertEquals(0, backoff.hostCount(), "a late failure of a forgotten host leaves no state");
  }

  /** A fifth of the first attempts, and at most ten a second and the initial tokens on top. */
  @Test
  void retriesStayWithinBudget() {
    RetryBudget budget = new RetryBudget(0.2, 10);
    int retries = 0;
    for (int i = 0; i < 10_000; i++) {
      long at = i * MS;
      budget.recordFirstAttempt(at);
      for (int j = 0; j < 3; j++) {
        if (budget.isRetryAllowed(at)) {
          budget.recordRetry(at);
          retries++;
        }
      }
    }
    assertTrue(
        retries >= 2000 && retries <= 2000 + 100 + 20, retries + " for 10,000 in ten seconds");
  }
}
