package rushwood.testbed.model;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.SplittableRandom;

/**
 * Models a database server under load: slots that execute requests, a queue for requests that wait
 * for a slot, a warm-up after a restart, crashes and hangs, a role and a replication position.
 *
 * <p>The model has no clock and no threads. Callers pass the time in nanoseconds, which must not go
 * back. The completion time of a request is determined when the request is accepted, so the model
 * needs no events of its own. The same seed and the same calls give the same results.
 */
public final class HostModel {
  /** The maximum age of the data that a {@link RequestKind#BOUNDED_READ} accepts. */
  public static final long MAX_STALENESS_NANOS = 500_000_000L;

  /**
   * The capacity of a host.
   *
   * @param rate the requests per second that all slots together complete when the host is warm
   * @param slots the number of requests that the host executes at once
   * @param queue the number of requests that may wait for a slot
   * @param coldStartSpeed the speed right after a restart, as a share of the warm speed
   * @param warmupNanos the time from a restart until the host is warm; the speed grows linearly
   * @param overloadMultiple the work that the host withstands while it warms up, as a multiple of
   *     the work that it completes at its present speed
   * @param overloadWindowNanos the window over which arriving work is compared with that limit; 0
   *     if the host withstands any amount
   * @param lagNanos how far the host lags behind the primary while it is a replica
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

  /** Whether a host accepts a request, or why it does not. */
  public enum OfferStatus {
    ACCEPTED,
    /** All slots are busy and the queue is full. */
    OVERLOADED,
    /** The request is a write and the host is a replica. */
    NOT_PRIMARY,
    /** The host lags too far behind the primary for a {@link RequestKind#BOUNDED_READ}. */
    REPLICA_LAGGING,
    /** The host is down or hangs. */
    NO_RESPONSE
  }

  /**
   * A host's response to a request.
   *
   * @param completesAt the time at which an accepted request completes or a refused one was
   *     refused; {@code Long.MAX_VALUE} without a response
   */
  public record OfferResult(OfferStatus status, long completesAt) {}

  private static final long NOT_RESTARTED = Long.MIN_VALUE / 2;
  private static final OfferResult NO_RESPONSE =
      new OfferResult(OfferStatus.NO_RESPONSE, Long.MAX_VALUE);

  // Service times vary as those of real statements do, here uniformly around their mean.
  private static final double MIN_SERVICE_TIME_FACTOR = 0.75;
  private static final double SERVICE_TIME_FACTOR_RANGE = 0.5;

  private final Parameters parameters;
  private final SplittableRandom random;
  private final long[] slotFreeAt;
  private final Deque<Long> completionTimes = new ArrayDeque<>(); // of accepted requests, unordered
  private final WarmupLoad warmupLoad;
  private boolean primary;
  private boolean up = true;
  private boolean hung;
  private long startedAt = NOT_RESTARTED;
  private int incarnation;
  private boolean crashOnOverload;
  private int overloadCrashes;

  /**
   * Creates a warm host that is up.
   *
   * @param primary whether the host starts as the primary of its group
   * @param seed the seed of the variation of service times
   */
  public HostModel(Parameters parameters, boolean primary, long seed) {
    this.parameters = parameters;
    this.primary = primary;
    random = new SplittableRandom(seed);
    slotFreeAt = new long[parameters.slots()];
    warmupLoad = new WarmupLoad(parameters);
  }

  /**
   * Sets whether the host crashes when it is overloaded while it warms up. If not, the overload
   * only counts in {@link #worstColdOverload()}.
   */
  public void setCrashOnOverload(boolean crash) {
    crashOnOverload = crash;
  }

  /** Returns whether the host's process is running. */
  public boolean isUp() {
    return up;
  }

  /** Returns whether the host is the primary of its group and so accepts writes. */
  public boolean isPrimary() {
    return primary;
  }

  /**
   * Returns a number that increases with each crash and restart. Callers must not answer requests
   * that were accepted under an earlier number.
   */
  public int incarnation() {
    return incarnation;
  }

  /** Returns how often the host crashed because of overload. */
  public int overloadCrashes() {
    return overloadCrashes;
  }

  /**
   * Returns the most work that arrived within a window during warm-up, as a share of what the host
   * withstands in that window; above 1 the host was overloaded.
   */
  public double worstColdOverload() {
    return warmupLoad.worstOverload();
  }

  /** Ends the host's process; the accepted requests are lost. */
  public void crash() {
    up = false;
    incarnation++;
  }

  /** Starts a new process of the host, which is cold and has no requests. */
  public void restart(long now) {
    up = true;
    incarnation++;
    hung = false;
    startedAt = now;
    Arrays.fill(slotFreeAt, now);
    completionTimes.clear();
    warmupLoad.restart();
  }

  /** Sets whether the host hangs: while it does, it responds to no new request. */
  public void setHung(boolean hung) {
    this.hung = hung;
  }

  /** Makes the host the primary of its group or a replica. */
  public void setPrimary(boolean primary) {
    this.primary = primary;
  }

  /** Returns the host's speed as a share of its warm speed. */
  public double relativeSpeed(long now) {
    if (startedAt == NOT_RESTARTED || parameters.warmupNanos() <= 0) {
      return 1;
    }
    double warmupProgress = (double) (now - startedAt) / parameters.warmupNanos();
    return Math.min(
        1,
        parameters.coldStartSpeed()
            + (1 - parameters.coldStartSpeed()) * Math.max(0, warmupProgress));
  }

  private boolean isWarmingUp(long now) {
    return relativeSpeed(now) < 1;
  }

  /**
   * Returns how far the host has applied the log, as a time in nanoseconds: a primary up to now, a
   * replica up to its lag before now.
   */
  public long position(long now) {
    return primary ? now : now - parameters.lagNanos();
  }

  /**
   * Returns the number of accepted requests whose completion time has not come yet. Until a crashed
   * host restarts, this includes the requests that the crash lost.
   */
  public int activeRequests(long now) {
    completionTimes.removeIf(completesAt -> completesAt <= now);
    return completionTimes.size();
  }

  /**
   * Offers the host a request whose last byte arrives now.
   *
   * <p>Work that arrives during warm-up may crash the host, see {@link #setCrashOnOverload}; then
   * there is no response and {@link #isUp()} is false afterwards.
   */
  public OfferResult offer(long now, RequestKind kind) {
    if (!up || hung) {
      return NO_RESPONSE;
    }
    long serviceNanos = (long) (parameters.slots() / parameters.rate() * 1e9);
    trackWarmupLoad(now, serviceNanos);
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
    double factor = MIN_SERVICE_TIME_FACTOR + SERVICE_TIME_FACTOR_RANGE * random.nextDouble();
    slotFreeAt[slot] = startsAt + (long) (serviceNanos * factor / relativeSpeed(startsAt));
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

  /**
   * Tracks work that arrives during warm-up, and crashes the host if that overloads it and {@link
   * #setCrashOnOverload} is set.
   */
  private void trackWarmupLoad(long now, long serviceNanos) {
    if (!isWarmingUp(now) || parameters.overloadWindowNanos() <= 0) {
      return;
    }
    boolean isOverloaded = warmupLoad.add(now, serviceNanos, relativeSpeed(now));
    if (crashOnOverload && isOverloaded) {
      overloadCrashes++;
      crash();
    }
  }
}
