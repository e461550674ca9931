package rushwood.overload;

/**
 * A set-associative cache of fixed size that holds a value for a fingerprint until an expiry time.
 * If a bucket is full, the entry that expires first is evicted. Times are clock times in
 * nanoseconds.
 */
final class FingerprintCache {
  /** Returned by {@link #get} for a fingerprint without a value; values are never negative. */
  static final long ABSENT = -1;

  private static final long EXPIRED = 0;
  private static final int ENTRIES_PER_BUCKET = 4;
  // 4,096 fingerprints: half a second of 8,000 rejected requests per second.
  private static final int BUCKETS_FOR_REPEATS = 1 << 10;

  private final long[] fingerprints;
  private final long[] expiresAt;
  private final long[] values;
  private final int mask;

  /**
   * Creates an empty cache.
   *
   * @param buckets the number of buckets, of four entries each
   * @throws IllegalArgumentException unless {@code buckets} is a power of two
   */
  FingerprintCache(int buckets) {
    if (Integer.bitCount(buckets) != 1) {
      throw new IllegalArgumentException("buckets must be a power of two: " + buckets);
    }
    mask = buckets - 1;
    fingerprints = new long[buckets * ENTRIES_PER_BUCKET];
    expiresAt = new long[buckets * ENTRIES_PER_BUCKET];
    values = new long[buckets * ENTRIES_PER_BUCKET];
  }

  /**
   * Creates a cache sized for the repeats that an overloaded router sees, or a minimal one unless
   * {@code enabled}.
   */
  static FingerprintCache forRepeats(boolean enabled) {
    return new FingerprintCache(enabled ? BUCKETS_FOR_REPEATS : 1);
  }

  /** Returns the size of all entries in bytes, used or not. */
  long memoryBytes() {
    return 3L * Long.BYTES * fingerprints.length;
  }

  /**
   * Stores a value, replacing an earlier one of the same fingerprint. It is kept until {@code
   * expiry} unless its bucket overflows.
   *
   * @param value must not be negative
   */
  void put(long fingerprint, long expiry, long value, long now) {
    int start = bucketStart(fingerprint);
    int entry = findReplaceable(start, fingerprint, now);
    remove(fingerprint);
    fingerprints[entry] = fingerprint;
    expiresAt[entry] = expiry;
    values[entry] = value;
  }

  /**
   * Returns the first entry of the bucket that has this fingerprint or has expired, or else the
   * entry that expires first.
   */
  private int findReplaceable(int start, long fingerprint, long now) {
    int nextToExpire = start;
    for (int i = start; i < start + ENTRIES_PER_BUCKET; i++) {
      if (fingerprints[i] == fingerprint || expiresAt[i] <= now) {
        return i;
      }
      nextToExpire = expiresAt[i] < expiresAt[nextToExpire] ? i : nextToExpire;
    }
    return nextToExpire;
  }

  /** Returns the value of a fingerprint, or {@link #ABSENT} if there is none or it has expired. */
  long get(long fingerprint, long now) {
    int start = bucketStart(fingerprint);
    for (int i = start; i < start + ENTRIES_PER_BUCKET; i++) {
      if (fingerprints[i] == fingerprint && expiresAt[i] > now) {
        return values[i];
      }
    }
    return ABSENT;
  }

  /** Removes the value of a fingerprint, if there is one. */
  void remove(long fingerprint) {
    int start = bucketStart(fingerprint);
    for (int i = start; i < start + ENTRIES_PER_BUCKET; i++) {
      if (fingerprints[i] == fingerprint) {
        expiresAt[i] = EXPIRED;
      }
    }
  }

  private int bucketStart(long fingerprint) {
    return ((int) SplitMix64.mix(fingerprint) & mask) * ENTRIES_PER_BUCKET;
  }
}
