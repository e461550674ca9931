package rushwood.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rushwood.api.HostId;

/** What the storm module keeps, against plain structures and at its bounds. */
class OverloadStructuresTest {
  private static final long MS = 1_000_000L;
  private static final HostId ENDPOINT = new HostId("a");

  /**
   * Never fewer than an exact map has within the span; too many for one mark in a hundred at the
   * most.
   */
  @Test
  void sketchNeverCountsFewerThanExactMap() {
    RepeatSketch sketch = new RepeatSketch(1 << 14, 1000 * MS);
    Map<Long, Integer> exact = new HashMap<>();
    SplittableRandom chance = new SplittableRandom(3);
    for (int i = 0; i < 10_000; i++) {
      long mark = chance.nextLong(8_000);
      sketch.add(mark, 500 * MS);
      exact.merge(mark, 1, Integer::sum);
    }
    int over = 0;
    for (long mark = 0; mark < 100_000; mark++) {
      int is = exact.getOrDefault(mark, 0);
      int seen = sketch.count(mark, 600 * MS);
      assertTrue(seen >= is, "never too few");
      over += seen > is ? 1 : 0;
    }
    assertTrue(over < 100_000 / 100, over + " marks seen too often");
    assertEquals(1 << 17, sketch.memoryBytes());
    assertTrue(
        sketch.count(exact.keySet().iterator().next(), 1600 * MS) > 0, "one span later still");
    assertEquals(0, sketch.count(exact.keySet().iterator().next(), 2700 * MS), "and then no more");
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
    assertEquals(254, sketch.count(7, 100_000 * MS), "it does not run over");
  }

  /** A full bucket forgets what is over first; memory stays what it is. */
  @Test
  void cacheKeepsLatestExpiryWithinFixedMemory() {
    FingerprintCache marks = new FingerprintCache(16);
    long bytes = marks.memoryBytes();
    for (long mark = 1; mark <= 10_000; mark++) {
      marks.put(mark, mark * MS, mark, 0);
    }
    int kept = 0;
    for (long mark = 1; mark <= 10_000; mark++) {
      long is = marks.get(mark, 0);
      assertTrue(is == -1 || is == mark);
      kept += is == mark ? 1 : 0;
    }
    assertEquals(64, kept);
    assertEquals(10_000, marks.get(10_000, 0));
    assertEquals(-1, marks.get(10_000, 10_000 * MS), "its time is over");
    marks.put(10_000, 20_000 * MS, 5, 0);
    assertEquals(5, marks.get(10_000, 0));
    marks.remove(10_000);
    assertEquals(-1, marks.get(10_000, 0));
    assertEquals(bytes, marks.memoryBytes());
  }

  /**
   * Nothing told is longer than allowed, and no slot is promised to more than are expected to fit.
   */
  @Test
  void scheduleReservesUpToCapacity() {
    RetryAfterSchedule calendar = new RetryAfterSchedule(500 * MS);
    calendar.setExpectedRate(1000); // ten a slot
    int[] slots = new int[51];
    int booked = 0;
    for (int i = 0; i < 1000; i++) {
      RetryAfterSchedule.Reservation place = calendar.reserve(0, 1, true, 0, 500 * MS);
      assertTrue(place.waitNanos() > 0 && place.waitNanos() <= 500 * MS);
      if (place.reserved()) {
        booked++;
        slots[(int) (place.waitNanos() / RetryAfterSchedule.SLOT_NANOS)]++;
      }
    }
    assertEquals(500, booked, "fifty slots of ten");
    for (int count : slots) {
      assertTrue(count <= 10);
    }
    assertFalse(calendar.reserve(0, 1, true, 0, 500 * MS).reserved());
    assertTrue(
        calendar.reserve(200 * MS, 1, true, 0, 500 * MS).reserved(),
        "slots that passed are used again");
  }

  /**
   * Those that wait here come first; what earns little leaves a quarter; one group leaves half to
   * the others.
   */
  @Test
  void scheduleSharesCapacityByPriorityAndGroup() {
    RetryAfterSchedule calendar = new RetryAfterSchedule(500 * MS);
    calendar.setExpectedRate(1000);
    assertTrue(calendar.reserve(0, 1, true, 300, 500 * MS).waitNanos() >= 300 * MS);
    assertFalse(calendar.reserve(0, 1, true, 600, 500 * MS).reserved());
    assertFalse(
        calendar.reserve(0, 1, true, 300, 200 * MS).reserved(), "its client has left by then");
    RetryAfterSchedule low = new RetryAfterSchedule(100 * MS);
    low.setExpectedRate(1000);
    int booked = 0;
    while (low.reserve(0, 1, false, 0, 100 * MS).reserved()) {
      booked++;
    }
    assertEquals(70, booked, "seven of ten places in each of ten slots");
    RetryAfterSchedule two = new RetryAfterSchedule(100 * MS);
    two.setExpectedRate(1000);
    two.reserve(0, 2, true, 0, 100 * MS);
    booked = 0;
    while (two.reserve(0, 1, true, 0, 100 * MS).reserved()) {
      booked++;
    }
    assertEquals(50, booked);
    assertTrue(two.reserve(0, 2, true, 0, 100 * MS).reserved(), "there is room for the other");
  }

  /** Slow hosts: a place in every fourth slot. */
  @Test
  void scheduleWithLessThanOneReservationPerSlot() {
    RetryAfterSchedule calendar = new RetryAfterSchedule(500 * MS);
    calendar.setExpectedRate(25);
    int booked = 0;
    while (calendar.reserve(0, 1, true, 0, 500 * MS).reserved()) {
      booked++;
    }
    assertTrue(booked >= 12 && booked <= 13, booked + " in half a second of 25 a second");
    RetryAfterSchedule none = new RetryAfterSchedule(500 * MS);
    assertEquals(500 * MS, none.reserve(0, 1, true, 0, 500 * MS).waitNanos());
  }

  /**
   * Whatever wants to dial a dead host: under fifty attempts a second, and one that works opens the
   * way.
   */
  @Test
  void connectAttemptsAreLimitedAfterFailures() {
    ConnectBackoff dials = new ConnectBackoff(new SplittableRandom(9), true);
    int attempts = 0;
    for (long at = 0; at < 10_000 * MS; at += MS) {
      for (int i = 0; i < 20; i++) {
        if (dials.isAttemptAllowed(ENDPOINT, at)) {
          dials.attemptStarted(ENDPOINT);
          attempts++;
          dials.attemptFailed(ENDPOINT, at);
        }
      }
    }
    assertTrue(attempts > 15 && attempts < 50, attempts + " in ten seconds");
    long at = 11_000 * MS;
    assertTrue(dials.isAttemptAllowed(ENDPOINT, at));
    dials.attemptStarted(ENDPOINT);
    assertFalse(dials.isAttemptAllowed(ENDPOINT, at), "one at a time");
    dials.attemptSucceeded(ENDPOINT);
    dials.attemptStarted(ENDPOINT);
    assertTrue(dials.isAttemptAllowed(ENDPOINT, at), "it is well: as many as are wanted");
    dials.forget(ENDPOINT);
    dials.attemptFailed(ENDPOINT, at);
    assertEquals(0, dials.endpointCount(), "what ends late of one forgotten leaves nothing");
  }

  /** Further shots never outgrow their share of the first ones by more than the floor. */
  @Test
  void retriesStayWithinBudget() {
    RetryBudget budget = new RetryBudget(0.2, 10);
    int further = 0;
    for (int i = 0; i < 10_000; i++) {
      long at = i * MS;
      budget.recordFirstAttempt(at);
      for (int j = 0; j < 3; j++) {
        if (budget.isRetryAllowed(at)) {
          budget.recordRetry(at);
          further++;
        }
      }
    }
    assertTrue(
        further >= 2000 && further <= 2000 + 100 + 20, further + " for 10,000 in ten seconds");
  }
}
