package rushwood.overload;

import rushwood.api.OverloadSignals;
import rushwood.api.Request;
import rushwood.api.RoutingSettings;

/**
 * Chooses the Retry-After time for rejected clients, and recognises requests that return after it.
 *
 * <p>For a rejected request the first of these cases applies:
 *
 * <ol>
 *   <li>Clients cannot be sent a time ({@code canSendRetryAfter}): none.
 *   <li>The operator has disabled the schedule: the longest time if other requests of the group
 *       wait for a slot, otherwise none.
 *   <li>No other request of the group waits and the group is {@linkplain OverloadState#NORMAL
 *       normal}: none, because its hosts have free slots.
 *   <li>Otherwise: the time that the {@link RetryAfterSchedule} gives for a request that is served
 *       after all pending requests of the router.
 * </ol>
 *
 * <p>A client whose connection is refused gets no time in the first case, the longest time if the
 * schedule is disabled, and otherwise a time from the schedule: its group is not known yet.
 */
final class RetryAfterAdvisor {
  // The group of a reservation for a refused connection, whose request is not known.
  private static final int NO_GROUP = -1;
  // A client that returns later than this after its Retry-After time is no longer recognised.
  private static final long RETURN_TOLERANCE_NANOS = 500_000_000L;

  private final RoutingSettings settings;
  private final boolean usesSchedule;
  private final OverloadSignals signalsWithoutSchedule;
  private final OverloadStatistics statistics;
  private final RequestTracker requestTracker;
  private final OverloadCounts counts;
  private final RetryAfterSchedule schedule;
  private final FingerprintCache waitByFingerprint;

  /** Creates an advisor with an empty schedule, which is only used if {@code usesSchedule}. */
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

  /** Updates the schedule with the rate at which the hosts are expected to serve requests. */
  void updateExpectedRate() {
    schedule.setExpectedRate(statistics.expectedRate());
  }

  /**
   * Returns the Retry-After time in nanoseconds for a request that is rejected now, 0 for none.
   *
   * @param othersWaiting whether other requests of the same group are waiting for a slot
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
   * Returns the Retry-After time in nanoseconds for a client whose connection is refused now, 0 for
   * none. The requests of this client are not recognised when it returns.
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
   * Returns the Retry-After time in nanoseconds that the client of a request of this fingerprint
   * was sent, and forgets it. Returns 0 if there was none or the client has returned too late.
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
