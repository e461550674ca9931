package rushwood.membership;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * SWIM's failure detector: pings one member a period and asks others to ping it if no ack comes in
 * time. A probe without an ack by the start of the next is missed. Period and time are those of the
 * settings, times the factor of this router's local health.
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
  private @Nullable Probe currentProbe; // none before the first, and while there is nobody to probe
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
    Optional<MemberId> target = targets.next(now);
    currentProbe = null;
    long timeoutFactor = localHealth.timeoutFactor();
    if (target.isPresent()) {
      Probe probe = new Probe(target.get(), outbox.nextSequenceNumber());
      currentProbe = probe;
      outbox.send(probe.target, PeerMessage.Kind.PING, probe.sequenceNumber, probe.target);
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
