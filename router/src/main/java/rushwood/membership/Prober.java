package rushwood.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * SWIM's failure detector: pings one member a period, asks others to ping it if no ack comes in
 * time, and suspects it if none has come by the next period.
 */
final class Prober {
  /** Of so many probes one goes to a member that was declared dead lately. */
  private static final int REVIVAL_PROBE_INTERVAL = 4;

  private final LocalMember self;
  private final MembershipSettings settings;
  private final MemberTable members;
  private final LocalHealth localHealth;
  private final Outbox outbox;
  private final MembershipTimers timers;
  private final MembershipCounters counters;
  private final SplittableRandom random;
  private final UpdateHandler updateHandler;
  private final List<MemberId> probeOrder = new ArrayList<>();
  private int nextProbeIndex;
  private int probesStarted;
  private Probe currentProbe; // null before the first one and where there was nobody to probe

  private static final class Probe {
    final MemberId target;
    final int sequenceNumber;
    boolean acked;

    Probe(MemberId target, int sequenceNumber) {
      this.target = target;
      this.sequenceNumber = sequenceNumber;
    }
  }

  /** {@code updateHandler} gets the update that suspects a member. */
  Prober(
      LocalMember self,
      MembershipSettings settings,
      MemberTable members,
      LocalHealth localHealth,
      Outbox outbox,
      MembershipTimers timers,
      MembershipCounters counters,
      SplittableRandom random,
      UpdateHandler updateHandler) {
    this.self = self;
    this.settings = settings;
    this.members = members;
    this.localHealth = localHealth;
    this.outbox = outbox;
    this.timers = timers;
    this.counters = counters;
    this.random = random;
    this.updateHandler = updateHandler;
  }

  /** Schedules the first probe; every probe schedules the next until this router leaves. */
  void start(long now) {
    timers.schedule(now, () -> probeNext(now));
  }

  private void probeNext(long now) {
    if (self.isLeaving()) {
      return;
    }
    if (currentProbe != null && !currentProbe.acked) {
      probeMissed(now, currentProbe.target);
    }
    MemberId target = pickTarget(now);
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

  private void probeMissed(long now, MemberId target) {
    counters.countMissedProbe();
    localHealth.degrade();
    Member member = members.get(target);
    if (member != null && member.state() == MemberState.ALIVE) {
      updateHandler.apply(
          now, new MembershipUpdate(target, MemberState.SUSPECT, member.incarnation(), self.id()));
    }
  }

  /** The next member to probe, or null if there is none. */
  private MemberId pickTarget(long now) {
    if (++probesStarted % REVIVAL_PROBE_INTERVAL == 0) {
      List<MemberId> dead = members.recentlyDead(now, settings.deadRetentionNanos());
      if (!dead.isEmpty()) {
        counters.countRevivalProbe();
        return dead.get(random.nextInt(dead.size()));
      }
    }
    return nextInProbeOrder();
  }

  /** Round-robin over a random order that is drawn anew each round. */
  private MemberId nextInProbeOrder() {
    for (int tries = 0; tries <= probeOrder.size(); tries++) {
      if (nextProbeIndex >= probeOrder.size()) {
        shuffleProbeOrder();
        if (probeOrder.isEmpty()) {
          return null;
        }
      }
      MemberId candidate = probeOrder.get(nextProbeIndex++);
      Member member = members.get(candidate);
      if (member != null && member.state().isActive()) {
        return candidate;
      }
    }
    return null;
  }

  private void shuffleProbeOrder() {
    probeOrder.clear();
    probeOrder.addAll(members.active());
    for (int i = probeOrder.size() - 1; i > 0; i--) {
      int j = random.nextInt(i + 1);
      probeOrder.set(i, probeOrder.set(j, probeOrder.get(i)));
    }
    nextProbeIndex = 0;
  }

  private void sendIndirectProbes(Probe probe) {
    if (currentProbe != probe || probe.acked) {
      return;
    }
    List<MemberId> relays = new ArrayList<>(members.active());
    relays.remove(probe.target);
    for (int i = 0; i < settings.indirectProbes() && !relays.isEmpty(); i++) {
      MemberId relay = relays.remove(random.nextInt(relays.size()));
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
      localHealth.improve();
    }
    currentProbe.acked = true;
    return true;
  }
}
