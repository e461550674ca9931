package rushwood.overload;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import rushwood.api.HostId;
import rushwood.api.Times;

/**
 * Limits the connection attempts to hosts that do not accept connections: after a failure, one
 * attempt at a time is allowed, with exponential backoff and jitter, until an attempt succeeds.
 * Times are clock times in nanoseconds.
 *
 * <p>A host that is down thus costs a bounded number of attempts per second whatever the load, and
 * a host that comes back gets a single attempt at first.
 */
public final class ConnectBackoff {
  private static final class HostBackoff {
    private int attemptsInFlight;
    private long delayNanos = NO_DELAY;
    private long nextAttemptAt = Times.LONG_AGO;

    boolean isAttemptAllowed(long now) {
      boolean backingOff = delayNanos != NO_DELAY;
      return !backingOff || (attemptsInFlight == 0 && now >= nextAttemptAt);
    }

    void attemptStarted() {
      attemptsInFlight++;
    }

    void attemptEnded() {
      attemptsInFlight = Math.max(0, attemptsInFlight - 1);
    }

    void reset() {
      delayNanos = NO_DELAY;
    }

    /**
     * Doubles the delay if the next attempt was due. Otherwise the attempt started together with
     * one whose failure has been counted already.
     */
    void backOff(long now, RandomGenerator random) {
      if (now >= nextAttemptAt) {
        delayNanos = Math.min(MAX_DELAY_NANOS, Math.max(INITIAL_DELAY_NANOS, 2 * delayNanos));
        nextAttemptAt = now + delayNanos / 2 + random.nextLong(delayNanos);
      }
    }
  }

  private static final long NO_DELAY = 0;
  // A host whose listener restarts accepts connections again within a few of these delays.
  private static final long INITIAL_DELAY_NANOS = 20_000_000L;
  // The interval at which the routing policy checks the health of an unreachable host.
  private static final long MAX_DELAY_NANOS = 500_000_000L;

  private final Map<HostId, HostBackoff> backoffs = new LinkedHashMap<>();
  private final RandomGenerator random;
  private final boolean enabled;

  /** Creates the backoff for all hosts; unless {@code enabled}, every attempt is allowed. */
  public ConnectBackoff(RandomGenerator random, boolean enabled) {
    this.random = random;
    this.enabled = enabled;
  }

  /** Returns whether a connection attempt to the host may start now. */
  public boolean isAttemptAllowed(HostId host, long now) {
    HostBackoff backoff = backoffs.get(host);
    return !enabled || backoff == null || backoff.isAttemptAllowed(now);
  }

  /**
   * Records the start of an attempt. The caller reports its end with {@link #attemptSucceeded},
   * {@link #attemptFailed} or {@link #attemptCancelled}.
   */
  public void attemptStarted(HostId host) {
    if (enabled) {
      backoffs.computeIfAbsent(host, unknownHost -> new HostBackoff()).attemptStarted();
    }
  }

  /** Records a successful attempt: attempts to the host are no longer limited. */
  public void attemptSucceeded(HostId host) {
    HostBackoff backoff = endAttempt(host);
    if (backoff != null) {
      backoff.reset();
    }
  }

  /**
   * Records a failed attempt. Attempts that started together are expected to fail together, so they
   * count as one failure.
   */
  public void attemptFailed(HostId host, long now) {
    HostBackoff backoff = endAttempt(host);
    if (backoff != null) {
      backoff.backOff(now, random);
    }
  }

  /** Records that the router cancelled an attempt, which says nothing about the host. */
  public void attemptCancelled(HostId host) {
    endAttempt(host);
  }

  /** Returns the backoff of the host, or null if the host was forgotten during the attempt. */
  private @Nullable HostBackoff endAttempt(HostId host) {
    HostBackoff backoff = backoffs.get(host);
    if (backoff != null) {
      backoff.attemptEnded();
    }
    return backoff;
  }

  /** Drops the state of a host that was removed from the endpoint list. */
  public void forget(HostId host) {
    backoffs.remove(host);
  }

  int hostCount() {
    return backoffs.size();
  }
}
