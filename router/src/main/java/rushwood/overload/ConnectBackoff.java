package rushwood.overload;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import rushwood.api.HostId;

/**
 * Paces connection attempts to hosts that do not take them: after a failure one attempt at a time,
 * with gaps that grow and differ from router to router, until one comes up. A dead host so costs a
 * bounded number of attempts a second whatever the load; and one that comes back is not met by
 * everything that waited for it.
 */
public final class ConnectBackoff {
  private static final class HostBackoff {
    int connecting;
    long gapNanos;
    long nextAttemptAt = Long.MIN_VALUE;
  }

  private static final long FIRST_GAP_NANOS =
      20_000_000L; // a listener that restarts is back within a few of them
  private static final long MAX_GAP_NANOS =
      500_000_000L; // as often as the decisions probe a host that is down

  private final Map<HostId, HostBackoff> backoffs = new LinkedHashMap<>();
  private final RandomGenerator random;
  private final boolean enabled;

  public ConnectBackoff(RandomGenerator random, boolean enabled) {
    this.random = random;
    this.enabled = enabled;
  }

  /** Whether an attempt may be made now. */
  public boolean isAttemptAllowed(HostId host, long now) {
    HostBackoff backoff = backoffs.get(host);
    return !enabled
        || backoff == null
        || backoff.gapNanos == 0
        || backoff.connecting == 0 && now >= backoff.nextAttemptAt;
  }

  public void attemptStarted(HostId host) {
    if (enabled) {
      backoffs.computeIfAbsent(host, each -> new HostBackoff()).connecting++;
    }
  }

  public void attemptSucceeded(HostId host) {
    HostBackoff backoff = finishAttempt(host);
    if (backoff != null) {
      backoff.gapNanos = 0;
    }
  }

  public void attemptFailed(HostId host, long now) {
    HostBackoff backoff = finishAttempt(host);
    if (backoff != null
        && now
            >= backoff
                .nextAttemptAt) { // those that were begun together fail together, and are one sign
      backoff.gapNanos = Math.min(MAX_GAP_NANOS, Math.max(FIRST_GAP_NANOS, 2 * backoff.gapNanos));
      backoff.nextAttemptAt = now + backoff.gapNanos / 2 + random.nextLong(backoff.gapNanos);
    }
  }

  /** It was called off while it was coming up: that says nothing. */
  public void attemptCancelled(HostId host) {
    finishAttempt(host);
  }

  /** An attempt is over; null if its host has been forgotten meanwhile. */
  private HostBackoff finishAttempt(HostId host) {
    HostBackoff backoff = backoffs.get(host);
    if (backoff != null) {
      backoff.connecting = Math.max(0, backoff.connecting - 1);
    }
    return backoff;
  }

  public void forget(HostId host) {
    backoffs.remove(host);
  }

  public int hostCount() {
    return backoffs.size();
  }
}
