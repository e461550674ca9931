package rushwood.overload;

import rushwood.api.OverloadSignals;
import rushwood.api.Request;
import rushwood.api.RoutingSettings;

/**
 * Decides which Retry-After time a rejected client is told, and recognises the requests that come
 * back at that time.
 *
 * <p>A rejected request is told, by the first case that holds:
 *
 * <ol>
 *   <li>where the operator has switched the schedule off: the longest time if other requests of the
 *       group wait, else none;
 *   <li>none if clients cannot be told a time ({@code canSendRetryAfter});
 *   <li>none if no other request of the group waits and the group is {@linkplain
 *       OverloadState#NORMAL not overloaded}: its hosts have free slots at once;
 *   <li>a time that the {@link RetryAfterSchedule} reserves, behind all requests that wait in the
 *       router.
 * </ol>
 *
 * <p>A client whose connection is refused is told a time by the second and the last case, or the
 * longest time without the schedule: which group it wants is not known yet.
 */
final class RetryAfterAdvisor {
  // The group of a reservation for a connection that has not sent a request yet.
  private static final int NO_GROUP = -1;
  // A client that returns later than this after its time has lost its reservation.
  private static final long RETURN_TOLERANCE_NANOS = 500_000_000L;

  private final RoutingSettings settings;
  private final boolean usesSchedule;
  private final OverloadSignals signalsWithoutSchedule;
  private final OverloadStatistics statistics;
  private final RequestTracker requestTracker;
  private final OverloadCounts counts;
  private final RetryAfterSchedule schedule;
  private final FingerprintCache waitByFingerprint;

  /** Creates an advisor with an empty schedule; a tiny cache suffices where it is not used. */
  RetryAfterAdvisor(
      RoutingSettings settings,
      boolean usesSchedule,
      OverloadStatistics statistics,
      RequestTracker requestTracker,
      OverloadCounts counts) {
    this.settings = settings;
    this.usesSchedule = usesSchedule;
    signalsWithoutSchedule = OverloadSignals.withoutOverloadControl(settings);
    this.statistics = statistics;
    this.requestTracker = requestTracker;
    this.counts = counts;
    schedule =
        new RetryAfterSchedule(
            Math.max(RetryAfterSchedule.SLOT_NANOS, settings.maxRetryAfterNanos()));
    waitByFingerprint = FingerprintCache.forRepeats(usesSchedule);
  }

  /** Takes over how many requests a second the hosts are expected to serve. */
  void updateExpectedRate() {
    schedule.setExpectedRate(statistics.expectedRate());
  }

  /**
   * The Retry-After time in nanoseconds for a request that is rejected now, 0 for none.
   *
   * @param othersWaiting whether other requests of its group wait for a slot
   */
  long adviseRejected(long now, Request request, boolean othersWaiting) {
    if (!usesSchedule) {
      return signalsWithoutSchedule.retryAfterNanos(now, request, othersWaiting);
    }
    boolean isNormal = statistics.groupState(request.group()) == OverloadState.NORMAL;
    if (!settings.canSendRetryAfter() || (!othersWaiting && isNormal)) {
      return 0;
    }
    return reserve(now, request);
  }

  private long reserve(long now, Request request) {
    boolean highPriority = request.requestClass().isWrite();
    RetryAfterSchedule.Reservation reservation =
        schedule.reserve(
            now,
            request.group().value(),
            highPriority,
            requestTracker.pendingCount(),
            settings.maxRetryAfterNanos());
    counts.addReservation(reservation.reserved());
    long waitNanos = reservation.waitNanos();
    if (request.hasFingerprint()) {
      waitByFingerprint.put(
          request.fingerprint(), now + waitNanos + RETURN_TOLERANCE_NANOS, waitNanos, now);
    }
    return waitNanos;
  }

  /**
   * The Retry-After time in nanoseconds for a client whose connection is refused now, 0 for none.
   * Its requests are not recognised when it returns.
   */
  long adviseRefusedConnection(long now) {
    if (!settings.canSendRetryAfter()) {
      return 0;
    }
    if (!usesSchedule) {
      return settings.maxRetryAfterNanos();
    }
    return schedule
        .reserve(now, NO_GROUP, false, requestTracker.pendingCount(), settings.maxRetryAfterNanos())
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
