package rushwood.overload;

/**
 * Remembers a value for each of a limited number of fingerprints until a time: a set-associative
 * cache in arrays of fixed size. In a full bucket the entry that expires first is evicted.
 */
final class FingerprintCache {
  /** What {@link #get} returns where nothing is remembered; values are 0 or more. */
  static final long ABSENT = -1;

  private static final long EXPIRED = 0;
  private static final int ENTRIES_PER_BUCKET = 4;
  // 4,096 fingerprints: half a second of 8,000 rejected requests a second.
  private static final int BUCKETS_FOR_REPEATS = 1 << 10;

  private final long[] fingerprints;
  private final long[] expiresAt;
  private final long[] values;
  private final int mask;

  /**
   * Creates an empty cache.
   *
   * @param buckets how many buckets of four entries there are
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

  /** Creates a cache for the repeats that an overloaded router sees; a tiny one if unused. */
  static FingerprintCache forRepeats(boolean used) {
    return new FingerprintCache(used ? BUCKETS_FOR_REPEATS : 1);
  }

  /** Bytes held by the entries, whether they are used or not. */
  long memoryBytes() {
    return 3L * Long.BYTES * fingerprints.length;
  }

  /**
   * Remembers a value, 0 or more, until {@code expires} or until its bucket overflows. It replaces
   * an earlier value of that fingerprint.
   */
  void put(long fingerprint, long expires, long value, long now) {
    int start = bucketStart(fingerprint);
    int entry = findReplaceable(start, fingerprint, now);
    remove(fingerprint);
    fingerprints[entry] = fingerprint;
    expiresAt[entry] = expires;
    values[entry] = value;
  }

  /** The first entry of that fingerprint or expired; if there is none the next to expire. */
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

  /** The value that is remembered now, or {@link #ABSENT}. */
  long get(long fingerprint, long now) {
    int start = bucketStart(fingerprint);
    for (int i = start; i < start + ENTRIES_PER_BUCKET; i++) {
      if (fingerprints[i] == fingerprint && expiresAt[i] > now) {
        return values[i];
      }
    }
    return ABSENT;
  }

  /** Forgets the value of that fingerprint, if there is one. */
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
