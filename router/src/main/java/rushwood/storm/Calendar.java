package rushwood.storm;

import java.util.Arrays;

/**
 * When those that are turned back are to return: a wheel of slots ahead of now, each with as many
 * places as hosts are expected to get through in it. A booking takes the first slot with a place
 * for its kind; the wait that is told is the way to there. When no place is left it is the longest
 * wait, and not booked. Memory is fixed: slots that have passed are used again.
 */
public final class Calendar {
  /** A wait in nanoseconds; {@code booked} if a place was kept for it. */
  public record Place(long away, boolean booked) {}

  public static final long SLOT =
      10_000_000L; // finer than any wait told matters, coarser than a turn of the loop

  private static final int PARTIES =
      32; // groups by their number's rest: two that share one share its part too
  private static final double ONE_PARTY =
      0.5; // of a slot's places for one group, once others came lately
  private static final double LOW =
      0.75; // of a slot's places for accesses that earn little: some stay for the rest
  private static final long LATELY = 2_000_000_000L; // another group was heard: a few waits

  private final int slots;
  private final long longest;
  private final int[] taken;
  private final int[][] byParty;
  private final long[] turnOf;
  private final long[] heardAt = new long[PARTIES];
  private double perSlot;

  /** With the longest wait that may be told, in nanoseconds. */
  public Calendar(long longest) {
    this.longest = longest;
    slots = (int) Math.max(1, longest / SLOT);
    taken = new int[slots + 1];
    byParty = new int[slots + 1][PARTIES];
    turnOf = new long[slots + 1];
    Arrays.fill(heardAt, Long.MIN_VALUE / 2);
  }

  public long bytes() {
    return (long) (slots + 1) * (4 + 4 * PARTIES + 8) + 8 * PARTIES;
  }

  /** How many accesses hosts are expected to get through in a second. */
  public void expect(double perSecond) {
    perSlot = perSecond * SLOT / 1e9;
  }

  /**
   * Books a return. {@code ahead} accesses wait here already and come first; {@code high}: it earns
   * as much as any; {@code leavesIn}: how long its client may be back, which one with little time
   * left gets nothing beyond.
   */
  public Place book(long now, int party, boolean high, double ahead, long leavesIn) {
    int mine = Math.floorMod(party, PARTIES);
    heardAt[mine] = now;
    boolean others = false;
    for (int i = 0; i < PARTIES && !others; i++) {
      others = i != mine && heardAt[i] > now - LATELY;
    }
    double places = perSlot * (high ? 1 : LOW);
    double own = others ? perSlot * ONE_PARTY : places;
    long first = now / SLOT + 1 + (perSlot > 0 ? (long) Math.min(slots, ahead / perSlot) : slots);
    long last = now / SLOT + Math.min(slots, Math.max(1, leavesIn / SLOT));
    for (long slot = first; slot <= last; slot++) {
      int at = at(slot);
      // Where less than one fits into a slot it is booked by the first that comes and counts for
      // the next.
      if (taken[at] + 1 <= Math.max(1, places) && byParty[at][mine] + 1 <= Math.max(1, own)) {
        long most = Math.min(last, slot + (long) Math.ceil(1 / Math.max(1e-3, perSlot)) - 1);
        for (long each = slot; each <= Math.max(slot, most); each++) {
          taken[at(each)]++;
          byParty[at(each)][mine]++;
        }
        return new Place(Math.min(longest, Math.max(SLOT, slot * SLOT - now)), true);
      }
    }
    return new Place(longest, false);
  }

  /** Where a slot is kept; what stood there for one that has passed is gone. */
  private int at(long slot) {
    int at = (int) (slot % (slots + 1));
    if (turnOf[at] != slot) {
      turnOf[at] = slot;
      taken[at] = 0;
      Arrays.fill(byParty[at], 0);
    }
    return at;
  }
}
