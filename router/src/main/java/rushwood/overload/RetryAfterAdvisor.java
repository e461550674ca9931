package rushwood.overload;

import rushwood.api.Request;
import rushwood.api.RoutingSettings;

/**
 * Tells rejected clients when to retry, from the {@link RetryAfterSchedule}, and recognises the
 * requests that come back at that time.
 */
final class RetryAfterAdvisor {
  // The share index of a reservation for a connection that has not sent a request yet.
  private static final int NO_GROUP = -1;
  // A client that returns later than this after its time has lost its reservation.
  private static final long RETURN_TOLERANCE_NANOS = 500_000_000L;

  private final RoutingSettings settings;
  private final OverloadCounts counts;
  private final RetryAfterSchedule schedule;
  private final FingerprintCache waitByFingerprint;

  /** Creates an advisor with an empty schedule; a tiny cache suffices where it is not used. */
  RetryAfterAdvisor(RoutingSettings settings, OverloadCounts counts, boolean used) {
    this.settings = settings;
    this.counts = counts;
    schedule =
        new RetryAfterSchedule(
            Math.max(RetryAfterSchedule.SLOT_NANOS, settings.maxRetryAfterNanos()));
    waitByFingerprint = FingerprintCache.forRepeats(used);
  }

  /** How many requests a second the hosts are expected to serve. */
  void setExpectedRate(double requestsPerSecond) {
    schedule.setExpectedRate(requestsPerSecond);
  }

  /** Reserves a return of the rejected request, and returns the wait in nanoseconds until then. */
  long reserve(long now, Request request, long waitingRequests) {
    boolean highPriority = request.requestClass().isWrite();
    RetryAfterSchedule.Reservation reservation =
        schedule.reserve(
            now,
            request.group().value(),
            highPriority,
            waitingRequests,
            settings.maxRetryAfterNanos());
    counts.addReservation(reservation.reserved());
    long waitNanos = reservation.waitNanos();
    if (request.hasFingerprint()) {
      waitByFingerprint.put(
          request.fingerprint(), now + waitNanos + RETURN_TOLERANCE_NANOS, waitNanos, now);
    }
    return waitNanos;
  }

  /** The same for a client whose connection is refused; it is not recognised when it returns. */
  long reserveForConnection(long now, long waitingRequests) {
    return schedule
        .reserve(now, NO_GROUP, false, waitingRequests, settings.maxRetryAfterNanos())
        .waitNanos();
  }

  /**
   * The wait in nanoseconds that the client of this fingerprint was told, once, if it returns in
   * time; else 0.
   */
  long takeAdvisedWait(long fingerprint, long now) {
    long waitNanos = waitByFingerprint.get(fingerprint, now);
    if (waitNanos == FingerprintCache.ABSENT) {
      return 0;
    }
    waitByFingerprint.remove(fingerprint);
    counts.addReturnedAsAdvised();
    return waitNanos;
  }
}
