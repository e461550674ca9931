package rushwood.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FingerprintCacheTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** A full bucket evicts the entry that expires first. */
  @Test
  void cacheKeepsLatestExpiryWithinFixedMemory() {
    FingerprintCache cache = new FingerprintCache(16);
    long bytes = cache.memoryBytes();
    for (long fingerprint = 1; fingerprint <= 10_000; fingerprint++) {
      cache.put(fingerprint, fingerprint * NANOS_PER_MILLI, fingerprint, 0);
    }
    int kept = 0;
    for (long fingerprint = 1; fingerprint <= 10_000; fingerprint++) {
      long value = cache.get(fingerprint, 0);
      assertTrue(value == FingerprintCache.ABSENT || value == fingerprint);
      kept += value == fingerprint ? 1 : 0;
    }
    assertEquals(64, kept);
    assertEquals(10_000, cache.get(10_000, 0));
    assertEquals(FingerprintCache.ABSENT, cache.get(10_000, 10_000 * NANOS_PER_MILLI), "expired");
    cache.put(10_000, 20_000 * NANOS_PER_MILLI, 5, 0);
    assertEquals(5, cache.get(10_000, 0));
    cache.remove(10_000);
    assertEquals(FingerprintCache.ABSENT, cache.get(10_000, 0));
    assertEquals(bytes, cache.memoryBytes());
  }
}
