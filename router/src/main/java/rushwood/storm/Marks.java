package rushwood.storm;

/**
 * Remembers a time and a wait for a mark, so many at once and no more: each mark has a bucket of
 * four places, and in a full bucket the one whose time is first over gives way.
 */
public final class Marks {
  private static final int WAYS = 4;

  private final long[] marks;
  private final long[] until;
  private final long[] value;
  private final int mask;

  /** With the buckets, a power of two. */
  public Marks(int buckets) {
    if (Integer.bitCount(buckets) != 1) {
      throw new IllegalArgumentException("buckets must be a power of two");
    }
    mask = buckets - 1;
    marks = new long[buckets * WAYS];
    until = new long[buckets * WAYS];
    value = new long[buckets * WAYS];
  }

  public long bytes() {
    return 3L * 8 * marks.length;
  }

  private int bucket(long mark) {
    return ((int) Repeats.mix(mark) & mask) * WAYS;
  }

  /** It is remembered until then, or until its bucket overflows. */
  public void put(long mark, long till, long is, long now) {
    int at = -1;
    int oldest = bucket(mark);
    for (int i = bucket(mark); i < bucket(mark) + WAYS && at < 0; i++) {
      at = marks[i] == mark || until[i] <= now ? i : -1;
      oldest = until[i] < until[oldest] ? i : oldest;
    }
    at = at < 0 ? oldest : at;
    for (int i = bucket(mark); i < bucket(mark) + WAYS; i++) {
      until[i] = marks[i] == mark ? 0 : until[i];
    }
    marks[at] = mark;
    until[at] = till;
    value[at] = is;
  }

  /** What is remembered of it now, -1 for nothing. */
  public long get(long mark, long now) {
    for (int i = bucket(mark); i < bucket(mark) + WAYS; i++) {
      if (marks[i] == mark && until[i] > now) {
        return value[i];
      }
    }
    return -1;
  }

  public void remove(long mark) {
    for (int i = bucket(mark); i < bucket(mark) + WAYS; i++) {
      until[i] = marks[i] == mark ? 0 : until[i];
    }
  }
}
