package rushwood.overload;

import java.util.Arrays;
import rushwood.api.Times;

/**
 * Estimates how often a fingerprint was added recently, in memory of fixed size: two count-min
 * sketches (Cormode and Muthukrishnan 2005) with conservative update. After each time span the
 * older one is cleared and becomes the current one.
 *
 * <p>Up to {@link #MAX_COUNT}, a count is never too low for the last span; it includes nothing
 * older than two spans. It is too high only if the fingerprint shares its cell with others in every
 * row.
 */
public final class RepeatSketch {
  /** The value at which counts saturate. */
  public static final int MAX_COUNT = 254;

  // A fingerprint that was never added has a count only if its cells collide in every row.
  private static final int ROWS = 4;

  private byte[][] current;
  private byte[][] previous;
  private final int mask;
  private final long spanNanos;
  private long rotateAt = Times.LONG_AGO; // the first call starts a span

  /**
   * Creates an empty sketch.
   *
   * @param cells the number of cells in each of the four rows
   * @param spanNanos the shortest time for which an added fingerprint is counted
   * @throws IllegalArgumentException unless {@code cells} is a power of two
   */
  public RepeatSketch(int cells, long spanNanos) {
    if (Integer.bitCount(cells) != 1) {
      throw new IllegalArgumentException("cells must be a power of two: " + cells);
    }
    mask = cells - 1;
    this.spanNanos = spanNanos;
    current = new byte[ROWS][cells];
    previous = new byte[ROWS][cells];
  }

  /** Returns the size of all cells in bytes, used or not. */
  long memoryBytes() {
    return 2L * ROWS * (mask + 1);
  }

  /** Returns how often the fingerprint was added recently, at most {@link #MAX_COUNT}. */
  public int count(long fingerprint, long now) {
    rotateIfDue(now);
    long hash = SplitMix64.mix(fingerprint);
    return Math.min(MAX_COUNT, minimum(current, hash) + minimum(previous, hash));
  }

  /** Adds the fingerprint once. */
  public void add(long fingerprint, long now) {
    rotateIfDue(now);
    long hash = SplitMix64.mix(fingerprint);
    int next = Math.min(MAX_COUNT, minimum(current, hash) + 1);
    for (int row = 0; row < ROWS; row++) {
      // Conservative update: a cell that already holds a higher count is left as it is.
      int cell = cell(hash, row);
      current[row][cell] = (byte) Math.max(toCount(current[row][cell]), next);
    }
  }

  private int minimum(byte[][] rows, long hash) {
    int minimum = MAX_COUNT;
    for (int row = 0; row < ROWS; row++) {
      minimum = Math.min(minimum, toCount(rows[row][cell(hash, row)]));
    }
    return minimum;
  }

  private static int toCount(byte cell) {
    return Byte.toUnsignedInt(cell);
  }

  private int cell(long hash, int row) {
    return (int) ((hash >>> (row * 16)) ^ (hash >>> ((row * 16 + 29) % 64))) & mask;
  }

  private void rotateIfDue(long now) {
    if (rotateAt == Times.LONG_AGO) {
      rotateAt = now + spanNanos;
    }
    // Two rotations clear both sketches, so further ones would change nothing.
    for (int i = 0; i < 2 && now >= rotateAt; i++) {
      rotate();
      rotateAt += spanNanos;
    }
    if (now >= rotateAt) {
      rotateAt = now + spanNanos;
    }
  }

  private void rotate() {
    byte[][] cleared = previous;
    for (byte[] row : cleared) {
      Arrays.fill(row, (byte) 0);
    }
    previous = current;
    current = cleared;
  }
}
