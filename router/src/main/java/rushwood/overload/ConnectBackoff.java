package rushwood.overload;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import rushwood.api.HostId;
import rushwood.api.Times;

/**
 * Limits connection attempts to hosts that accept none: after a failure one attempt at a time, at
 * exponentially growing gaps with jitter, until one succeeds. Times are clock times in nanoseconds.
 *
 * <p>A host that is down costs a bounded number of attempts a second whatever the load, and one
 * that comes back is not met by everything that waited for it.
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

    /** Doubles the gap, unless the next attempt was not due: then others failed with this one. */
    void backOff(long now, RandomGenerator random) {
      if (now >= nextAttemptAt) {
        delayNanos = Math.min(MAX_DELAY_NANOS, Math.max(INITIAL_DELAY_NANOS, 2 * delayNanos));
        nextAttemptAt = now + delayNanos / 2 + random.nextLong(delayNanos);
      }
    }
  }

  private static final long NO_DELAY = 0;
  // A listener that restarts is back within a few of them.
  private static final long INITIAL_DELAY_NANOS = 20_000_000L;
  // As often as the routing policy checks the health of a host that is unreachable.
  private static final long MAX_DELAY_NANOS = 500_000_000L;

  private final Map<HostId, HostBackoff> backoffs = new LinkedHashMap<>();
  private final RandomGenerator random;
  private final boolean enabled;

  /** Creates the backoff of all hosts; if not {@code enabled} every attempt is allowed. */
  public ConnectBackoff(RandomGenerator random, boolean enabled) {
    this.random = random;
    this.enabled = enabled;
  }

  /** Whether an attempt may start now. */
  public boolean isAttemptAllowed(HostId host, long now) {
    HostBackoff backoff = backoffs.get(host);
    return !enabled || backoff == null || backoff.isAttemptAllowed(now);
  }

  /** An attempt starts; one of the other three methods ends it. */
  public void attemptStarted(HostId host) {
    if (enabled) {
      backoffs.computeIfAbsent(host, unknownHost -> new HostBackoff()).attemptStarted();
    }
  }

  /** An attempt succeeded: attempts are no longer limited. */
  public void attemptSucceeded(HostId host) {
    HostBackoff backoff = endAttempt(host);
    if (backoff != null) {
      backoff.reset();
    }
  }

  /** An attempt failed. Attempts that started together fail together and count as one failure. */
  public void attemptFailed(HostId host, long now) {
    HostBackoff backoff = endAttempt(host);
    if (backoff != null) {
      backoff.backOff(now, random);
    }
  }

  /** An attempt was cancelled while it was in flight, which says nothing of the host. */
  public void attemptCancelled(HostId host) {
    endAttempt(host);
  }

  /** Returns the host's backoff, unless the host was forgotten during the attempt. */
  private @Nullable HostBackoff endAttempt(HostId host) {
    HostBackoff backoff = backoffs.get(host);
    if (backoff != null) {
      backoff.attemptEnded();
    }
    return backoff;
  }

  /** Drops what is known of a host that left the endpoint list. */
  public void forget(HostId host) {
    backoffs.remove(host);
  }

  int hostCount() {
    return backoffs.size();
  }
}
