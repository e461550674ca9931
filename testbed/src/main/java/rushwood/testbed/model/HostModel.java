package rushwood.testbed.model;

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
  public record Parameters(
      double rate,
      int slots,
      int queue,
      double coldStartSpeed,
      long warmupNanos,
      double overloadMultiple,
      long overloadWindowNanos,
      long lagNanos) {}

  public enum OfferStatus {
    ACCEPTED,
    OVERLOADED,
    NOT_PRIMARY,
    REPLICA_LAGGING,
    NO_RESPONSE
  }

  /** What becomes of a shot: when it is done, if it is taken. */
  public record OfferResult(OfferStatus status, long completesAt) {}

  private record RecentWork(long at, long durationNanos) {}

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Parameters parameters;
  private final SplittableRandom random;
  private final long[] slotFreeAt;
  private final Deque<Long> completionTimes = new ArrayDeque<>(); // of what it holds, in no order
  private final Deque<RecentWork> recentWork = new ArrayDeque<>();
  private boolean primary;
  private boolean up = true;
  private boolean hung;
  private long startedAt = NEVER;
  private long lagsSince;
  private int incarnation;
  private double recentWorkNanos;
  private double worstColdOverload;
  private boolean crashOnOverload;
  private int overloadCrashes;

  public HostModel(Parameters parameters, boolean primary, long seed) {
    this.parameters = parameters;
    this.primary = primary;
    random = new SplittableRandom(seed);
    slotFreeAt = new long[parameters.slots()];
  }

  /** Whether it falls over when it is pushed past its multiple; else that is only noted. */
  public void crashOnOverload(boolean crash) {
    crashOnOverload = crash;
  }

  public boolean isUp() {
    return up;
  }

  public boolean isPrimary() {
    return primary;
  }

  /** Which of its processes is running: what an earlier one was asked comes to nothing. */
  public int incarnation() {
    return incarnation;
  }

  public int overloadCrashes() {
    return overloadCrashes;
  }

  /**
   * The most work that was sent to it cold within a window, over what that window may bring: 1 is
   * the bound.
   */
  public double worstColdOverload() {
    return worstColdOverload;
  }

  public void crash() {
    up = false;
    incarnation++;
  }

  public void restart(long now) {
    up = true;
    incarnation++;
    hung = false;
    startedAt = now;
    Arrays.fill(slotFreeAt, now);
    completionTimes.clear();
    recentWork.clear();
    recentWorkNanos = 0;
  }

  public void setHung(boolean hung) {
    this.hung = hung;
  }

  public void setPrimary(boolean primary) {
    this.primary = primary;
  }

  /** The share of its warm speed that it has at that time. */
  public double relativeSpeed(long now) {
    if (startedAt == NEVER || parameters.warmupNanos() <= 0) {
      return 1;
    }
    double age = (double) (now - startedAt) / parameters.warmupNanos();
    return Math.min(
        1, parameters.coldStartSpeed() + (1 - parameters.coldStartSpeed()) * Math.max(0, age));
  }

  public boolean isWarmingUp(long now) {
    return relativeSpeed(now) < 1;
  }

  /** The time it stands at: a primary at the present, a replica behind. */
  public long position(long now) {
    return primary ? now : now - parameters.lagNanos();
  }

  public int activeRequests(long now) {
    completionTimes.removeIf(done -> done <= now);
    return completionTimes.size();
  }

  /**
   * A shot whose last byte arrives now; {@code bound} is how old its data may be, 0 for the
   * present, -1 for any.
   */
  public OfferResult offer(long now, boolean write, long maxStaleness) {
    if (!up || hung) {
      return new OfferResult(OfferStatus.NO_RESPONSE, Long.MAX_VALUE);
    }
    long serviceNanos = (long) (parameters.slots() / parameters.rate() * 1e9);
    trackColdLoad(now, serviceNanos);
    if (!up) {
      return new OfferResult(OfferStatus.NO_RESPONSE, Long.MAX_VALUE);
    }
    if (write && !primary) {
      return new OfferResult(OfferStatus.NOT_PRIMARY, now);
    }
    if (!write && !primary && maxStaleness >= 0 && parameters.lagNanos() > maxStaleness) {
      return new OfferResult(OfferStatus.REPLICA_LAGGING, now);
    }
    if (activeRequests(now) >= parameters.slots() + parameters.queue()) {
      return new OfferResult(OfferStatus.OVERLOADED, now);
    }
    int slot = 0;
    for (int i = 1; i < slotFreeAt.length; i++) {
      slot = slotFreeAt[i] < slotFreeAt[slot] ? i : slot;
    }
    long startsAt = Math.max(now, slotFreeAt[slot]);
    double spread =
        0.75
            + 0.5
                * random.nextDouble(); // around the mean: real statements differ, and seeds repeat
    slotFreeAt[slot] = startsAt + (long) (serviceNanos * spread / relativeSpeed(startsAt));
    completionTimes.add(slotFreeAt[slot]);
    return new OfferResult(OfferStatus.ACCEPTED, slotFreeAt[slot]);
  }

  /**
   * Keeps the work sent within the window against multiple x present speed x window, the fourth
   * rule's measure.
   */
  private void trackColdLoad(long now, long serviceNanos) {
    if (!isWarmingUp(now) || parameters.overloadWindowNanos() <= 0) {
      return;
    }
    recentWork.add(new RecentWork(now, serviceNanos));
    recentWorkNanos += serviceNanos;
    while (recentWork.peek().at() <= now - parameters.overloadWindowNanos()) {
      recentWorkNanos -= recentWork.poll().durationNanos();
    }
    double bound =
        parameters.overloadMultiple()
            * relativeSpeed(now)
            * parameters.slots()
            * parameters.overloadWindowNanos();
    worstColdOverload = Math.max(worstColdOverload, recentWorkNanos / bound);
    if (crashOnOverload && recentWorkNanos > bound) {
      overloadCrashes++;
      crash();
    }
  }
}
