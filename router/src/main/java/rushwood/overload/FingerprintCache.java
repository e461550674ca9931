package rushwood.overload;

/**
 * Remembers a time and a wait for a mark, so many at once and no more: each mark has a bucket of
 * four places, and in a full bucket the one whose time is first over gives way.
 */
public final class FingerprintCache {
  private static final int WAYS = 4;

  private final long[] fingerprints;
  private final long[] expiresAt;
  private final long[] values;
  private final int mask;

  /** With the buckets, a power of two. */
  public FingerprintCache(int buckets) {
    if (Integer.bitCount(buckets) != 1) {
      throw new IllegalArgumentException("buckets must be a power of two");
    }
    mask = buckets - 1;
    fingerprints = new long[buckets * WAYS];
    expiresAt = new long[buckets * WAYS];
    values = new long[buckets * WAYS];
  }

  public long memoryBytes() {
    return 3L * 8 * fingerprints.length;
  }

  private int bucketStart(long fingerprint) {
    return ((int) RepeatSketch.mix(fingerprint) & mask) * WAYS;
  }

  /** It is remembered until then, or until its bucket overflows. */
  public void put(long fingerprint, long expires, long value, long now) {
    int target = -1;
    int oldest = bucketStart(fingerprint);
    for (int i = bucketStart(fingerprint); i < bucketStart(fingerprint) + WAYS && target < 0; i++) {
      target = fingerprints[i] == fingerprint || expiresAt[i] <= now ? i : -1;
      oldest = expiresAt[i] < expiresAt[oldest] ? i : oldest;
    }
    target = target < 0 ? oldest : target;
    for (int i = bucketStart(fingerprint); i < bucketStart(fingerprint) + WAYS; i++) {
      expiresAt[i] = fingerprints[i] == fingerprint ? 0 : expiresAt[i];
    }
    fingerprints[target] = fingerprint;
    expiresAt[target] = expires;
    values[target] = value;
  }

  /** What is remembered of it now, -1 for nothing. */
  public long get(long fingerprint, long now) {
    for (int i = bucketStart(fingerprint); i < bucketStart(fingerprint) + WAYS; i++) {
      if (fingerprints[i] == fingerprint && expiresAt[i] > now) {
        return values[i];
      }
    }
    return -1;
  }

  public void remove(long fingerprint) {
    for (int i = bucketStart(fingerprint); i < bucketStart(fingerprint) + WAYS; i++) {
      expiresAt[i] = fingerprints[i] == fingerprint ? 0 : expiresAt[i];
    }
  }
}
