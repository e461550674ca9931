package rushwood.membership;

/**
 * SWIM's failure detector: pings one member a period and asks others to ping it if no ack comes in
 * time. A probe without an ack by the start of the next is missed.
 */
final class Prober {
  /** Is told how the probes end. */
  interface Listener {
    void probeMissed(long now, MemberId target);

    /** The target itself has answered, not through a relay. */
    void probeAnswered();
  }

  private final MembershipSettings settings;
  private final ProbeTargets targets;
  private final LocalHealth localHealth;
  private final Outbox outbox;
  private final MembershipTimers timers;
  private final Listener listener;
  private Probe currentProbe; // null before the first one and where there was nobody to probe
  private boolean stopped;

  private static final class Probe {
    final MemberId target;
    final int sequenceNumber;
    boolean acked;

    Probe(MemberId target, int sequenceNumber) {
      this.target = target;
      this.sequenceNumber = sequenceNumber;
    }
  }

  Prober(
      MembershipSettings settings,
      ProbeTargets targets,
      LocalHealth localHealth,
      Outbox outbox,
      MembershipTimers timers,
      Listener listener) {
    this.settings = settings;
    this.targets = targets;
    this.localHealth = localHealth;
    this.outbox = outbox;
    this.timers = timers;
    this.listener = listener;
  }

  /** Schedules the first probe; every probe schedules the next until {@link #stop}. */
  void start(long now) {
    timers.schedule(now, () -> probeNext(now));
  }

  /** Begins no further probe; a missed one is not reported any more. */
  void stop() {
    stopped = true;
  }

  private void probeNext(long now) {
    if (stopped) {
      return;
    }
    if (currentProbe != null && !currentProbe.acked) {
      listener.probeMissed(now, currentProbe.target);
    }
    MemberId target = targets.next(now);
    currentProbe = null;
    long timeoutFactor = localHealth.timeoutFactor();
    if (target != null) {
      Probe probe = new Probe(target, outbox.nextSequenceNumber());
      currentProbe = probe;
      outbox.send(target, PeerMessage.Kind.PING, probe.sequenceNumber, target);
      timers.schedule(
          now + settings.ackTimeoutNanos() * timeoutFactor, () -> sendIndirectProbes(probe));
    }
    long nextAt = now + settings.probePeriodNanos() * timeoutFactor;
    timers.schedule(nextAt, () -> probeNext(nextAt));
  }

  private void sendIndirectProbes(Probe probe) {
    if (currentProbe != probe || probe.acked) {
      return;
    }
    for (MemberId relay : targets.relaysFor(probe.target, settings.indirectProbes())) {
      outbox.send(relay, PeerMessage.Kind.PING_REQ, probe.sequenceNumber, probe.target);
    }
  }

  /**
   * An ack has arrived.
   *
   * @return whether it is for this router's own probe, answered directly or through a relay
   */
  boolean ackReceived(MemberId from, int sequenceNumber) {
    if (currentProbe == null || sequenceNumber != currentProbe.sequenceNumber) {
      return false;
    }
    if (!currentProbe.acked && from.equals(currentProbe.target)) {
      listener.probeAnswered();
    }
    currentProbe.acked = true;
    return true;
  }
}
