package rushwood.membership;

/**
 * Declares a suspect member dead after a timeout. As in Lifeguard, the timeout starts long and
 * becomes shorter with each other member that suspects the same member independently.
 */
final class SuspicionTimers {
  private final LocalMember self;
  private final MembershipSettings settings;
  private final LocalHealth localHealth;
  private final MembershipTimers timers;
  private final UpdateHandler updateHandler;

  /**
   * Creates timers that pass an update to {@code updateHandler} when they declare a member dead.
   */
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
   * Adds {@code origin} to the members that suspect {@code suspect} and sets a timer for the
   * resulting timeout. Earlier timers of the same suspicion are kept; the first that expires
   * declares the member dead.
   */
  void recordSuspicion(Member suspect, MemberId origin) {
    suspect.addSuspecter(origin, settings.maxConfirmations());
    long suspectedAt = suspect.stateSince();
    long incarnation = suspect.incarnation();
    long timeoutAt = suspectedAt + timeoutNanos(suspect.confirmations());
    timers.schedule(timeoutAt, () -> expire(timeoutAt, suspect, incarnation, suspectedAt));
  }

  private void expire(long now, Member suspect, long incarnation, long suspectedAt) {
    if (suspect.isSuspectAt(incarnation) && suspect.stateSince() == suspectedAt) {
      updateHandler.apply(
          now, new MembershipUpdate(suspect.id(), MemberState.DEAD, incarnation, self.id()));
    }
  }

  /**
   * Returns the suspicion timeout by Lifeguard's formula: {@code max - (max - min) * log(c + 1) /
   * log(k + 1)}, multiplied by the local health factor, where c is {@code confirmations} and k is
   * {@link MembershipSettings#maxConfirmations}.
   *
   * @return nanoseconds from the time at which the member became suspect
   */
  long timeoutNanos(int confirmations) {
    double reduction =
        Math.log(Math.max(0, confirmations) + 1.0) / Math.log(settings.maxConfirmations() + 1.0);
    long range = settings.maxSuspicionNanos() - settings.minSuspicionNanos();
    double reduced = settings.maxSuspicionNanos() - range * Math.min(1.0, reduction);
    long bounded = (long) Math.max(settings.minSuspicionNanos(), reduced);
    return bounded * localHealth.timeoutFactor();
  }
}
