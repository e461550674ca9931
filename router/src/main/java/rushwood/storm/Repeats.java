package rushwood.storm;

import java.util.Arrays;

/**
 * Counts how often a mark came lately, in memory that never grows: two count-min sketches that take
 * turns. The count is never too low for the last span and at most two spans old; it is too high
 * only where marks share a cell in every row.
 */
public final class Repeats {
  // All four must collide: with a third as many marks as a row has cells 0.7% of those that never
  // came are seen.
  private static final int ROWS = 4;

  private final byte[][] now = new byte[ROWS][];
  private final byte[][] before = new byte[ROWS][];
  private final int mask;
  private final long span;
  private long turnAt;

  /**
   * With the cells of a row, a power of two, and for how long a mark is remembered at the least.
   */
  public Repeats(int cells, long span) {
    if (Integer.bitCount(cells) != 1) {
      throw new IllegalArgumentException("cells must be a power of two");
    }
    mask = cells - 1;
    this.span = span;
    for (int i = 0; i < ROWS; i++) {
      now[i] = new byte[cells];
      before[i] = new byte[cells];
    }
  }

  /** Bytes held, always. */
  public long bytes() {
    return 2L * ROWS * (mask + 1);
  }

  /** How often that mark was added lately, 254 at the most. */
  public int count(long mark, long at) {
    turn(at);
    int late = 255;
    int old = 255;
    long mixed = mix(mark);
    for (int i = 0; i < ROWS; i++) {
      int cell = cell(mixed, i);
      late = Math.min(late, now[i][cell] & 255);
      old = Math.min(old, before[i][cell] & 255);
    }
    return Math.min(254, late + old);
  }

  public void add(long mark, long at) {
    turn(at);
    long mixed = mix(mark);
    int late = 254;
    for (int i = 0; i < ROWS; i++) {
      late = Math.min(late, now[i][cell(mixed, i)] & 255);
    }
    int next = Math.min(254, late + 1);
    for (int i = 0;
        i < ROWS;
        i++) { // only what is not counted yet: cells shared with others rise less
      int cell = cell(mixed, i);
      now[i][cell] = (byte) Math.max(now[i][cell] & 255, next);
    }
  }

  private void turn(long at) {
    if (turnAt == 0) {
      turnAt = at + span;
    }
    for (int turns = 0; at >= turnAt && turns < 2; turns++) {
      for (int i = 0; i < ROWS; i++) {
        byte[] empty = before[i];
        before[i] = now[i];
        Arrays.fill(empty, (byte) 0);
        now[i] = empty;
      }
      turnAt += span;
    }
    turnAt = at >= turnAt ? at + span : turnAt;
  }

  private int cell(long mixed, int row) {
    return (int) (mixed >>> row * 16 ^ mixed >>> (row * 16 + 29) % 64) & mask;
  }

  /** Spreads a mark over all its bits: the last steps of SplitMix64. */
  static long mix(long mark) {
    long bits = mark + 0x9e3779b97f4a7c15L;
    bits = (bits ^ bits >>> 30) * 0xbf58476d1ce4e5b9L;
    bits = (bits ^ bits >>> 27) * 0x94d049bb133111ebL;
    return bits ^ bits >>> 31;
  }
}
