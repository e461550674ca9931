package rushwood.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class CachedListLeaseTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long STARTED_AT = -5_000 * NANOS_PER_MILLI; // any clock, also a negative one
  private static final long MAX_HOLD_UP_MILLIS = 150;
  private static final long CONFIGURATION_MILLIS = 90;

  private static long at(long millisAfterStart) {
    return STARTED_AT + millisAfterStart * NANOS_PER_MILLI;
  }

  private static CachedListLease lease(long drainGraceMillis) {
    return new CachedListLease(
        STARTED_AT, at(CONFIGURATION_MILLIS), drainGraceMillis * NANOS_PER_MILLI);
  }

  /**
   * A write that is held up at the end of the lease still begins within the grace, which counts
   * from the start of the process. That is before the start of the program, by no more than the
   * time that the program needs to read its configuration.
   */
  @Test
  void leaseEndsAHoldUpBeforeTheDrainGrace() {
    for (long configurationMillis : new long[] {30, 90, 600}) {
      CachedListLease lease =
          new CachedListLease(STARTED_AT, at(configurationMillis), 2_000 * NANOS_PER_MILLI);
      long lastWrite = lease.endsAt() + MAX_HOLD_UP_MILLIS * NANOS_PER_MILLI;
      assertTrue(lastWrite <= at(2_000 - configurationMillis), () -> configurationMillis + " ms");
      assertTrue(lastWrite >= at(1_000), () -> configurationMillis + " ms");
    }
  }

  @Test
  void mostOfTheLeaseIsLeftForServing() {
    CachedListLease lease = lease(2_000);
    long remaining = lease.endsAt() - at(1_000);
    assertEquals(at(1_000) + remaining / 8, lease.waitsUntil(at(1_000)));
    assertEquals(at(2_000), lease(20_000).waitsUntil(at(1_000)), "no longer than a second");
  }

  /** A router that may not use the cached list is of no use to clients until a list comes. */
  @Test
  void waitsForAListOnceTheLeaseIsOverButListensInTime() {
    assertEquals(at(9_000), lease(250).waitsUntil(at(1_000)));
    assertEquals(at(9_000), lease(2_000).waitsUntil(at(1_900)));
    assertEquals(at(12_000), lease(2_000).waitsUntil(at(12_000)));
  }
}
