package rushwood.policy;

import java.util.ArrayList;
import java.util.List;
import rushwood.api.Endpoint;
import rushwood.api.HostId;

/** What a router remembers of a host. */
final class HostState {
  enum Health {
    HEALTHY,
    UNREACHABLE,
    UNRESPONSIVE
  }

  /** Earlier than any clock time, and far enough from the end that sums with it do not overflow. */
  static final long NEVER = Long.MIN_VALUE / 2;

  final HostId id;
  Endpoint endpoint;
  GroupState group;

  final List<Attempt> inFlight = new ArrayList<>();
  private int presumedLost; // of those that are out
  private final double initialLimit;
  double concurrencyLimit;
  double latencyRatio;
  long pausedUntil = NEVER;

  Health health = Health.HEALTHY;
  long ejectedAt;
  long nextTrialAt;
  long lastAnswerAt = NEVER;
  boolean probeInFlight;

  long startedAt;
  double slowStartTokens;
  long slowStartTokensAt;
  double completedWorkRate;
  double completedWork;

  long position = NEVER;
  long positionHeardAt = NEVER;
  long laggingAt = NEVER;
  long roleKnownAt = NEVER;
  long writeRefusedAt = NEVER;

  HostState(HostId id, double initialLimit) {
    this.id = id;
    this.initialLimit = initialLimit;
    concurrencyLimit = initialLimit;
  }

  void leaveGroup() {
    if (group != null) {
      group.remove(this);
      group = null;
    }
  }

  /** It is up: what happened to that shot was its connection's fault. */
  boolean hasAnsweredSince(Attempt attempt) {
    return lastAnswerAt > attempt.sentAt;
  }

  /** A new process: cold, well as far as is known, and nothing of the old one's slots holds. */
  void reset(long time) {
    startedAt = time;
    concurrencyLimit = initialLimit;
    latencyRatio = 0;
    pausedUntil = NEVER;
    health = Health.HEALTHY;
  }

  /** A position never goes back; one past the clock cannot be true. */
  void recordPosition(long reported, long now) {
    if (reported <= now) {
      position = Math.max(position, reported);
      positionHeardAt = now;
    }
  }

  /** That shot's answer will not come: it holds no slot any more. */
  void presumeLost(Attempt attempt) {
    attempt.presumedLost = true;
    presumedLost++;
  }

  void removeAttempt(Attempt attempt) {
    if (inFlight.remove(attempt) && attempt.presumedLost) {
      presumedLost--;
    }
  }

  /** Slots taken: by shots that are out and not held for lost. */
  int occupiedSlots() {
    return inFlight.size() - presumedLost;
  }

  double load() {
    return occupiedSlots() / endpoint.weight();
  }
}
