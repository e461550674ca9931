package rushwood.overload;

import java.util.Arrays;
import rushwood.api.Times;

/**
 * Counts how often a fingerprint was added lately, in memory of fixed size: two count-min sketches
 * (Cormode and Muthukrishnan 2005) with conservative update, of which the older one is cleared and
 * reused after each span.
 *
 * <p>A count is never too low for the last span and includes nothing older than two spans. It is
 * too high only where the fingerprint shares its cell with others in every row.
 */
public final class RepeatSketch {
  /** Counts go no higher than this. */
  public static final int MAX_COUNT = 254;

  // A fingerprint that was never added is counted only if it shares its cell in every row.
  private static final int ROWS = 4;

  private byte[][] current;
  private byte[][] previous;
  private final int mask;
  private final long spanNanos;
  private long rotateAt = Times.LONG_AGO; // the first call begins a span

  /**
   * Creates an empty sketch.
   *
   * @param cells how many cells each of the four rows has
   * @param spanNanos how long a fingerprint is remembered at least
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

  /** Bytes held by the cells, whether they are used or not. */
  long memoryBytes() {
    return 2L * ROWS * (mask + 1);
  }

  /** How often the fingerprint was added lately, {@link #MAX_COUNT} at most. */
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
      // Conservative update: a cell that counts others as well is raised to the count only.
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
    // Two rotations clear both sketches, so more of them change nothing.
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
