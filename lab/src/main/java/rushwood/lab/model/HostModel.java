package rushwood.lab.model;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.SplittableRandom;

/**
 * A host of the store as it behaves under load: slots that work, a line before them, a cold start,
 * death and hang, a role and a position. It has no clock and no threads; whoever asks it passes the
 * time, which never goes back. How long a shot takes is known when it is taken, so that no events
 * are needed inside.
 */
public final class HostModel {
  /** What it is made of. Times in nanoseconds; {@code rate} in accesses a second when warm. */
  public record Kind(
      double rate,
      int slots,
      int queue,
      double coldFrom,
      long coldFor,
      double tipMultiple,
      long tipWindow,
      long lag) {}

  public enum Verdict {
    TAKEN,
    OVERFULL,
    NOT_PRIMARY,
    TOO_FAR_BEHIND,
    SILENT
  }

  /** What becomes of a shot: when it is done, if it is taken. */
  public record Reply(Verdict verdict, long doneAt) {}

  private record Work(long at, long lasts) {}

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Kind kind;
  private final SplittableRandom chance;
  private final long[] freeAt;
  private final Deque<Long> dones = new ArrayDeque<>(); // of what it holds, in no order
  private final Deque<Work> window = new ArrayDeque<>();
  private boolean primary;
  private boolean up = true;
  private boolean hung;
  private long startedAt = NEVER;
  private long lagsSince;
  private int life;
  private double windowWork;
  private double worst;
  private boolean tips;
  private int falls;

  public HostModel(Kind kind, boolean primary, long seed) {
    this.kind = kind;
    this.primary = primary;
    chance = new SplittableRandom(seed);
    freeAt = new long[kind.slots()];
  }

  /** Whether it falls over when it is pushed past its multiple; else that is only noted. */
  public void tips(boolean does) {
    tips = does;
  }

  public boolean isUp() {
    return up;
  }

  public boolean isPrimary() {
    return primary;
  }

  /** Which of its processes is running: what an earlier one was asked comes to nothing. */
  public int life() {
    return life;
  }

  public int falls() {
    return falls;
  }

  /**
   * The most work that was sent to it cold within a window, over what that window may bring: 1 is
   * the bound.
   */
  public double worstPush() {
    return worst;
  }

  public void die() {
    up = false;
    life++;
  }

  public void start(long now) {
    up = true;
    life++;
    hung = false;
    startedAt = now;
    Arrays.fill(freeAt, now);
    dones.clear();
    window.clear();
    windowWork = 0;
  }

  public void hang(boolean does) {
    hung = does;
  }

  public void promote(boolean is) {
    primary = is;
  }

  /** The share of its warm speed that it has at that time. */
  public double warmth(long now) {
    if (startedAt == NEVER || kind.coldFor() <= 0) {
      return 1;
    }
    double age = (double) (now - startedAt) / kind.coldFor();
    return Math.min(1, kind.coldFrom() + (1 - kind.coldFrom()) * Math.max(0, age));
  }

  public boolean isCold(long now) {
    return warmth(now) < 1;
  }

  /** The time it stands at: a primary at the present, a replica behind. */
  public long position(long now) {
    return primary ? now : now - kind.lag();
  }

  public int inWork(long now) {
    dones.removeIf(done -> done <= now);
    return dones.size();
  }

  /**
   * A shot whose last byte arrives now; {@code bound} is how old its data may be, 0 for the
   * present, -1 for any.
   */
  public Reply offer(long now, boolean write, long bound) {
    if (!up || hung) {
      return new Reply(Verdict.SILENT, Long.MAX_VALUE);
    }
    long lasts = (long) (kind.slots() / kind.rate() * 1e9);
    push(now, lasts);
    if (!up) {
      return new Reply(Verdict.SILENT, Long.MAX_VALUE);
    }
    if (write && !primary) {
      return new Reply(Verdict.NOT_PRIMARY, now);
    }
    if (!write && !primary && bound >= 0 && kind.lag() > bound) {
      return new Reply(Verdict.TOO_FAR_BEHIND, now);
    }
    if (inWork(now) >= kind.slots() + kind.queue()) {
      return new Reply(Verdict.OVERFULL, now);
    }
    int slot = 0;
    for (int i = 1; i < freeAt.length; i++) {
      slot = freeAt[i] < freeAt[slot] ? i : slot;
    }
    long from = Math.max(now, freeAt[slot]);
    double spread =
        0.75
            + 0.5
                * chance.nextDouble(); // around the mean: real statements differ, and seeds repeat
    freeAt[slot] = from + (long) (lasts * spread / warmth(from));
    dones.add(freeAt[slot]);
    return new Reply(Verdict.TAKEN, freeAt[slot]);
  }

  /**
   * Keeps the work sent within the window against multiple x present speed x window, the fourth
   * rule's measure.
   */
  private void push(long now, long lasts) {
    if (!isCold(now) || kind.tipWindow() <= 0) {
      return;
    }
    window.add(new Work(now, lasts));
    windowWork += lasts;
    while (window.peek().at() <= now - kind.tipWindow()) {
      windowWork -= window.poll().lasts();
    }
    double bound = kind.tipMultiple() * warmth(now) * kind.slots() * kind.tipWindow();
    worst = Math.max(worst, windowWork / bound);
    if (tips && windowWork > bound) {
      falls++;
      die();
    }
  }
}
