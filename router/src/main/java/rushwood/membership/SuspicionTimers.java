package rushwood.membership;

/**
 * Declares a suspect member dead after a timeout. As in Lifeguard the timeout starts long and
 * shrinks with every member that suspects the same one independently.
 */
final class SuspicionTimers {
  private final LocalMember self;
  private final MembershipSettings settings;
  private final LocalHealth localHealth;
  private final MembershipTimers timers;
  private final UpdateHandler updateHandler;

  /** {@code updateHandler} gets the update that declares a member dead. */
  SuspicionTimers(
      LocalMember self,
      MembershipSettings settings,
      LocalHealth localHealth,
      MembershipTimers timers,
      UpdateHandler updateHandler) {
    this.self = self;
    this.settings = settings;
    this.localHealth = localHealth;
    this.timers = timers;
    this.updateHandler = updateHandler;
  }

  /**
   * Counts {@code origin} among those who suspect the member and sets a timer for the timeout as it
   * is now. Earlier timers of the same suspicion stay; the first to run ends it.
   */
  void confirm(Member suspect, MemberId origin) {
    suspect.addSuspecter(origin, settings.maxConfirmations());
    long suspectedAt = suspect.stateSince();
    long incarnation = suspect.incarnation();
    long timeoutAt = suspectedAt + timeout(suspect.confirmations());
    timers.schedule(timeoutAt, () -> expire(timeoutAt, suspect, incarnation, suspectedAt));
  }

  private void expire(long now, Member suspect, long incarnation, long suspectedAt) {
    if (suspect.isSuspectAt(incarnation) && suspect.stateSince() == suspectedAt) {
      updateHandler.apply(
          now, new MembershipUpdate(suspect.id(), MemberState.DEAD, incarnation, self.id()));
    }
  }

  /**
   * Lifeguard's formula: {@code max - (max - min) * log(c + 1) / log(k + 1)} for c confirmations of
   * k, times the factor of this router's local health.
   *
   * @return nanoseconds from the first suspicion
   */
  long timeout(int confirmations) {
    double share =
        Math.log(Math.max(0, confirmations) + 1.0) / Math.log(settings.maxConfirmations() + 1.0);
    long span = settings.maxSuspicionNanos() - settings.minSuspicionNanos();
    double shrunk = settings.maxSuspicionNanos() - span * Math.min(1.0, share);
    long bounded = (long) Math.max(settings.minSuspicionNanos(), shrunk);
    return bounded * localHealth.timeoutFactor();
  }
}
