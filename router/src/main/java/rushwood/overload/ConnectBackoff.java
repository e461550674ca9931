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
  private static final class EndpointBackoff {
    int connecting;
    long gapNanos;
    long nextAttemptAt = Long.MIN_VALUE;
  }

  private static final long FIRST_GAP_NANOS =
      20_000_000L; // a listener that restarts is back within a few of them
  private static final long MAX_GAP_NANOS =
      500_000_000L; // as often as the decisions probe a host that is down

  private final Map<HostId, EndpointBackoff> backoffs = new LinkedHashMap<>();
  private final RandomGenerator random;
  private final boolean enabled;

  public ConnectBackoff(RandomGenerator random, boolean enabled) {
    this.random = random;
    this.enabled = enabled;
  }

  /** Whether an attempt may be made now. */
  public boolean isAttemptAllowed(HostId endpoint, long now) {
    EndpointBackoff backoff = backoffs.get(endpoint);
    return !enabled
        || backoff == null
        || backoff.gapNanos == 0
        || backoff.connecting == 0 && now >= backoff.nextAttemptAt;
  }

  public void attemptStarted(HostId endpoint) {
    if (enabled) {
      backoffs.computeIfAbsent(endpoint, each -> new EndpointBackoff()).connecting++;
    }
  }

  public void attemptSucceeded(HostId endpoint) {
    EndpointBackoff backoff = finishAttempt(endpoint);
    if (backoff != null) {
      backoff.gapNanos = 0;
    }
  }

  public void attemptFailed(HostId endpoint, long now) {
    EndpointBackoff backoff = finishAttempt(endpoint);
    if (backoff != null
        && now
            >= backoff
                .nextAttemptAt) { // those that were begun together fail together, and are one sign
      backoff.gapNanos = Math.min(MAX_GAP_NANOS, Math.max(FIRST_GAP_NANOS, 2 * backoff.gapNanos));
      backoff.nextAttemptAt = now + backoff.gapNanos / 2 + random.nextLong(backoff.gapNanos);
    }
  }

  /** It was called off while it was coming up: that says nothing. */
  public void attemptCancelled(HostId endpoint) {
    finishAttempt(endpoint);
  }

  /** An attempt is over; null if its host has been forgotten meanwhile. */
  private EndpointBackoff finishAttempt(HostId endpoint) {
    EndpointBackoff backoff = backoffs.get(endpoint);
    if (backoff != null) {
      backoff.connecting = Math.max(0, backoff.connecting - 1);
    }
    return backoff;
  }

  public void forget(HostId endpoint) {
    backoffs.remove(endpoint);
  }

  public int endpointCount() {
    return backoffs.size();
  }
}
