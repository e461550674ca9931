package rushwood.membership;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * SWIM's failure detector. It pings one member in each probe period, and asks other members to ping
 * the same target if no ack arrives within the ack timeout. A probe with no ack by the start of the
 * next one counts as missed. The local health factor multiplies the configured period and timeout.
 */
final class Prober {
  /** Receives the results of the probes. */
  interface Listener {
    /** Called when a probe got no ack, direct or relayed, by the start of the next probe. */
    void probeMissed(long now, MemberId target);

    /** Called when the target itself answers, before any relayed ack. */
    void probeAnswered();
  }

  private final MembershipSettings settings;
  private final ProbeTargets targets;
  private final LocalHealth localHealth;
  private final Outbox outbox;
  private final MembershipTimers timers;
  private final Listener listener;
  private @Nullable Probe currentProbe; // null if there is no member to probe, and before start
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

  /**
   * Schedules the first probe for {@code now}; each probe schedules the next until {@link #stop}.
   */
  void start(long now) {
    timers.schedule(now, () -> probeNext(now));
  }

  /** Stops probing. A probe that is pending is not reported as missed. */
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
    long nextProbeAt = now + settings.probePeriodNanos() * timeoutFactor;
    timers.schedule(nextProbeAt, () -> probeNext(nextProbeAt));
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
   * Handles an ack.
   *
   * @return whether the ack answers the current probe, directly or through a relay
   */
  boolean handleAck(MemberId from, int sequenceNumber) {
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
