package rushwood.testbed.model;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.SplittableRandom;

/**
 * A database server under load: a number of slots that work, a queue before them, a slow start
 * after a restart, crash and hang, a role and a replication position.
 *
 * <p>It has no clock and no threads: callers pass the time, in nanoseconds, which never goes back.
 * When a request completes is decided as it is accepted, so the model needs no events of its own;
 * the same seed and the same calls give the same answers.
 */
public final class HostModel {
  /** How old the data of a {@link RequestKind#BOUNDED_READ} may be, in nanoseconds. */
  public static final long MAX_STALENESS_NANOS = 500_000_000L;

  /**
   * The capacity of a host.
   *
   * @param rate requests a second once it is warm, over all slots
   * @param slots requests that it works on at once
   * @param queue requests that may wait for a slot
   * @param coldStartSpeed share of its warm speed right after a restart
   * @param warmupNanos time from a restart until it is warm; the speed grows linearly
   * @param overloadMultiple how many times its present speed it bears while it warms up
   * @param overloadWindowNanos over which time that is counted; 0 for not at all
   * @param lagNanos how far it is behind the primary as a replica
   */
  public record Parameters(
      double rate,
      int slots,
      int queue,
      double coldStartSpeed,
      long warmupNanos,
      double overloadMultiple,
      long overloadWindowNanos,
      long lagNanos) {}

  /** Whether a host takes a request, and why not. */
  public enum OfferStatus {
    ACCEPTED,
    OVERLOADED,
    NOT_PRIMARY,
    REPLICA_LAGGING,
    NO_RESPONSE
  }

  /**
   * A host's reaction to a request.
   *
   * @param completesAt when an accepted request is done; {@code Long.MAX_VALUE} without a response
   */
  public record OfferResult(OfferStatus status, long completesAt) {}

  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final OfferResult NO_RESPONSE =
      new OfferResult(OfferStatus.NO_RESPONSE, Long.MAX_VALUE);

  // Service times are spread evenly around their mean, since those of real statements differ.
  private static final double SHORTEST_SERVICE = 0.75;
  private static final double SERVICE_SPREAD = 0.5;

  private final Parameters parameters;
  private final SplittableRandom random;
  private final long[] slotFreeAt;
  private final Deque<Long> completionTimes = new ArrayDeque<>(); // of accepted requests, unordered
  private final ColdLoad coldLoad;
  private boolean primary;
  private boolean up = true;
  private boolean hung;
  private long startedAt = NEVER;
  private int incarnation;
  private boolean crashOnOverload;
  private int overloadCrashes;

  /** Creates a warm host that is up. */
  public HostModel(Parameters parameters, boolean primary, long seed) {
    this.parameters = parameters;
    this.primary = primary;
    random = new SplittableRandom(seed);
    slotFreeAt = new long[parameters.slots()];
    coldLoad = new ColdLoad(parameters);
  }

  /** Sets whether it crashes when it is overloaded while it warms up; else that is only noted. */
  public void setCrashOnOverload(boolean crash) {
    crashOnOverload = crash;
  }

  /** Whether its process runs. */
  public boolean isUp() {
    return up;
  }

  /** Whether it takes writes. */
  public boolean isPrimary() {
    return primary;
  }

  /** Counts crashes and restarts: a request of an earlier incarnation is never answered. */
  public int incarnation() {
    return incarnation;
  }

  /** How often it crashed of overload. */
  public int overloadCrashes() {
    return overloadCrashes;
  }

  /**
   * The most work that came within a window while it warmed up, as a share of what it bears in that
   * window; above 1 it was overloaded.
   */
  public double worstColdOverload() {
    return coldLoad.worstOverload();
  }

  /** Ends its process. */
  public void crash() {
    up = false;
    incarnation++;
  }

  /** Starts its process anew: cold and with nothing to do. */
  public void restart(long now) {
    up = true;
    incarnation++;
    hung = false;
    startedAt = now;
    Arrays.fill(slotFreeAt, now);
    completionTimes.clear();
    coldLoad.restart();
  }

  /** While it hangs it answers nothing that comes. */
  public void setHung(boolean hung) {
    this.hung = hung;
  }

  /** Makes it the primary or a replica. */
  public void setPrimary(boolean primary) {
    this.primary = primary;
  }

  /** Its speed at that time as a share of its speed when warm. */
  public double relativeSpeed(long now) {
    if (startedAt == NEVER || parameters.warmupNanos() <= 0) {
      return 1;
    }
    double warmedShare = (double) (now - startedAt) / parameters.warmupNanos();
    return Math.min(
        1,
        parameters.coldStartSpeed() + (1 - parameters.coldStartSpeed()) * Math.max(0, warmedShare));
  }

  private boolean isWarmingUp(long now) {
    return relativeSpeed(now) < 1;
  }

  /**
   * How far it has applied the log, as a time: a primary up to now, a replica up to its lag ago.
   */
  public long position(long now) {
    return primary ? now : now - parameters.lagNanos();
  }

  /** Accepted requests that are not done by that time. */
  public int activeRequests(long now) {
    completionTimes.removeIf(completesAt -> completesAt <= now);
    return completionTimes.size();
  }

  /** A request whose last byte arrives now. */
  public OfferResult offer(long now, RequestKind kind) {
    if (!up || hung) {
      return NO_RESPONSE;
    }
    long serviceNanos = (long) (parameters.slots() / parameters.rate() * 1e9);
    trackColdLoad(now, serviceNanos);
    if (!up) {
      return NO_RESPONSE;
    }
    if (kind == RequestKind.WRITE && !primary) {
      return new OfferResult(OfferStatus.NOT_PRIMARY, now);
    }
    if (kind == RequestKind.BOUNDED_READ
        && !primary
        && parameters.lagNanos() > MAX_STALENESS_NANOS) {
      return new OfferResult(OfferStatus.REPLICA_LAGGING, now);
    }
    if (activeRequests(now) >= parameters.slots() + parameters.queue()) {
      return new OfferResult(OfferStatus.OVERLOADED, now);
    }
    return accept(now, serviceNanos);
  }

  private OfferResult accept(long now, long serviceNanos) {
    int slot = earliestFreeSlot();
    long startsAt = Math.max(now, slotFreeAt[slot]);
    double spread = SHORTEST_SERVICE + SERVICE_SPREAD * random.nextDouble();
    slotFreeAt[slot] = startsAt + (long) (serviceNanos * spread / relativeSpeed(startsAt));
    completionTimes.add(slotFreeAt[slot]);
    return new OfferResult(OfferStatus.ACCEPTED, slotFreeAt[slot]);
  }

  private int earliestFreeSlot() {
    int earliest = 0;
    for (int i = 1; i < slotFreeAt.length; i++) {
      earliest = slotFreeAt[i] < slotFreeAt[earliest] ? i : earliest;
    }
    return earliest;
  }

  /** Counts the work that comes while it warms up, and crashes of too much if it is to. */
  private void trackColdLoad(long now, long serviceNanos) {
    if (!isWarmingUp(now) || parameters.overloadWindowNanos() <= 0) {
      return;
    }
    boolean isOverloaded = coldLoad.add(now, serviceNanos, relativeSpeed(now));
    if (crashOnOverload && isOverloaded) {
      overloadCrashes++;
      crash();
    }
  }
}
