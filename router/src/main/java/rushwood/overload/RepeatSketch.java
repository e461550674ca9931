package rushwood.overload;

import java.util.Arrays;

/**
 * Counts how often a mark came lately, in memory that never grows: two count-min sketches that take
 * turns. The count is never too low for the last span and at most two spans old; it is too high
 * only where marks share a cell in every row.
 */
public final class RepeatSketch {
  // All four must collide: with a third as many marks as a row has cells 0.7% of those that never
  // came are seen.
  private static final int ROWS = 4;

  private final byte[][] current = new byte[ROWS][];
  private final byte[][] previous = new byte[ROWS][];
  private final int mask;
  private final long spanNanos;
  private long rotateAt;

  /**
   * With the cells of a row, a power of two, and for how long a mark is remembered at the least.
   */
  public RepeatSketch(int cells, long span) {
    if (Integer.bitCount(cells) != 1) {
      throw new IllegalArgumentException("cells must be a power of two");
    }
    mask = cells - 1;
    this.spanNanos = span;
    for (int i = 0; i < ROWS; i++) {
      current[i] = new byte[cells];
      previous[i] = new byte[cells];
    }
  }

  /** Bytes held, always. */
  public long memoryBytes() {
    return 2L * ROWS * (mask + 1);
  }

  /** How often that mark was added lately, 254 at the most. */
  public int count(long fingerprint, long now) {
    rotate(now);
    int currentCount = 255;
    int previousCount = 255;
    long mixed = mix(fingerprint);
    for (int i = 0; i < ROWS; i++) {
      int cell = cell(mixed, i);
      currentCount = Math.min(currentCount, current[i][cell] & 255);
      previousCount = Math.min(previousCount, previous[i][cell] & 255);
    }
    return Math.min(254, currentCount + previousCount);
  }

  public void add(long fingerprint, long now) {
    rotate(now);
    long mixed = mix(fingerprint);
    int currentCount = 254;
    for (int i = 0; i < ROWS; i++) {
      currentCount = Math.min(currentCount, current[i][cell(mixed, i)] & 255);
    }
    int next = Math.min(254, currentCount + 1);
    for (int i = 0;
        i < ROWS;
        i++) { // only what is not counted yet: cells shared with others rise less
      int cell = cell(mixed, i);
      current[i][cell] = (byte) Math.max(current[i][cell] & 255, next);
    }
  }

  private void rotate(long now) {
    if (rotateAt == 0) {
      rotateAt = now + spanNanos;
    }
    for (int turns = 0; now >= rotateAt && turns < 2; turns++) {
      for (int i = 0; i < ROWS; i++) {
        byte[] empty = previous[i];
        previous[i] = current[i];
        Arrays.fill(empty, (byte) 0);
        current[i] = empty;
      }
      rotateAt += spanNanos;
    }
    rotateAt = now >= rotateAt ? now + spanNanos : rotateAt;
  }

  private int cell(long mixed, int row) {
    return (int) (mixed >>> row * 16 ^ mixed >>> (row * 16 + 29) % 64) & mask;
  }

  /** Spreads a mark over all its bits: the last steps of SplitMix64. */
  static long mix(long fingerprint) {
    long bits = fingerprint + 0x9e3779b97f4a7c15L;
    bits = (bits ^ bits >>> 30) * 0xbf58476d1ce4e5b9L;
    bits = (bits ^ bits >>> 27) * 0x94d049bb133111ebL;
    return bits ^ bits >>> 31;
  }
}
