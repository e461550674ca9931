package rushwood.membership;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;

/**
 * One router's view of the members of its deployment. The caller passes in the messages received
 * and the time, and sends the messages that are returned.
 *
 * <p>Of what is said about a member, a higher incarnation overrides a lower one, and at the same
 * incarnation a state overrides those before it in {@link MemberState}. Times are whole nanoseconds
 * of Unix time.
 */
public final class Membership {
  private final LocalMember self;
  private final MembershipSettings settings;
  private final SplittableRandom random;
  private final MembershipCounters counters = new MembershipCounters();
  private final MembershipTimers timers = new MembershipTimers();
  private final MemberTable members;
  private final LocalHealth localHealth;
  private final UpdateDissemination dissemination;
  private final Outbox outbox;
  private final SuspicionTimers suspicionTimers;
  private final Prober prober;
  private final ProbeRelay probeRelay;

  /**
   * Starts with all peers alive.
   *
   * @param localId this router's address, as in its peers' lists
   * @param peers the members of the deployment, this router among them or not; 1,024 at most
   * @param now the start, from which the first incarnation is taken
   * @throws IllegalArgumentException if there are too many peers
   */
  public Membership(
      MemberId localId, List<MemberId> peers, MembershipSettings settings, long seed, long now) {
    self = new LocalMember(localId, now);
    this.settings = settings;
    random = new SplittableRandom(seed);
    members = new MemberTable(localId, peers, now);
    localHealth = new LocalHealth(settings.maxLocalHealthScore());
    dissemination = new UpdateDissemination(self, members, settings.retransmitMultiplier());
    outbox = new Outbox(self, dissemination);
    suspicionTimers = new SuspicionTimers(self, settings, localHealth, timers, this::applyUpdate);
    ProbeTargets targets =
        new ProbeTargets(members, settings.deadRetentionNanos(), counters, random);
    prober = new Prober(settings, targets, localHealth, outbox, timers, new ProbeEvents());
    probeRelay = new ProbeRelay(self, settings, members, outbox, timers);
    dissemination.add(self.update(MemberState.ALIVE));
    prober.start(now);
  }

  /** Runs what is due by {@code now}. */
  public List<OutgoingMessage> tick(long now) {
    timers.runDue(now);
    return outbox.drain();
  }

  /** When {@link #tick} is next needed; {@link Long#MAX_VALUE} for not at all. */
  public long nextTickAt() {
    return timers.nextDueAt();
  }

  /**
   * A message has arrived. It is dropped if its sender is outside the peer list. The codec bounds
   * the updates of a datagram; messages that were built otherwise are bounded here.
   */
  public List<OutgoingMessage> received(long now, MemberId from, PeerMessage message) {
    if (!members.contains(from) || message.updates().size() > DatagramCodec.MAX_UPDATES) {
      counters.countUnknownSender();
      return outbox.drain();
    }
    applyUpdate(now, new MembershipUpdate(from, MemberState.ALIVE, message.incarnation(), from));
    message.updates().forEach(update -> applyUpdate(now, update));
    switch (message.kind()) {
      case PING -> outbox.send(from, PeerMessage.Kind.ACK, message.sequenceNumber(), self.id());
      case PING_REQ -> probeRelay.relay(now, from, message);
      case ACK -> ackReceived(from, message.sequenceNumber());
    }
    return outbox.drain();
  }

  private void ackReceived(MemberId from, int sequenceNumber) {
    if (!prober.ackReceived(from, sequenceNumber)) {
      probeRelay.ackReceived(sequenceNumber);
    }
  }

  /** This router shuts down: it tells some members so and probes no more. */
  public List<OutgoingMessage> leave() {
    self.leave();
    prober.stop();
    MembershipUpdate left = self.update(MemberState.LEFT);
    dissemination.add(left);
    List<MemberId> active = members.active();
    int recipients = Math.min(active.size(), settings.indirectProbes() + 1);
    for (int i = 0; i < recipients; i++) {
      MemberId to = active.get(random.nextInt(active.size()));
      outbox.send(to, PeerMessage.Kind.PING, outbox.nextSequenceNumber(), to, List.of(left));
    }
    return outbox.drain();
  }

  /** Empty for a member outside the peer list, and for this router. */
  public Optional<MemberState> stateOf(MemberId id) {
    return members.find(id).map(Member::state);
  }

  /** The highest incarnation heard of; empty for a member outside the peer list. */
  public OptionalLong incarnationOf(MemberId id) {
    if (id.equals(self.id())) {
      return OptionalLong.of(self.incarnation());
    }
    return members.find(id).stream().mapToLong(Member::incarnation).findFirst();
  }

  /** Members that are alive or suspect, and this router. */
  public int size() {
    return members.active().size() + 1;
  }

  /** Grows by one with each change of a member's state. */
  public long version() {
    return members.version();
  }

  /** Whether no member's state has changed for the time that the settings name. */
  public boolean isStable(long now) {
    return now - members.lastChangeAt() >= settings.stableAfterNanos();
  }

  /** This router's own incarnation. */
  public long incarnation() {
    return self.incarnation();
  }

  /** 0 if this router seems healthy to itself; the higher, the longer its timeouts. */
  public int localHealthScore() {
    return localHealth.score();
  }

  /** Live counters, not a copy. */
  public MembershipCounters counters() {
    return counters;
  }

  private final class ProbeEvents implements Prober.Listener {
    @Override
    public void probeMissed(long now, MemberId target) {
      counters.countMissedProbe();
      localHealth.degrade();
      members
          .find(target)
          .filter(member -> member.state() == MemberState.ALIVE)
          .ifPresent(member -> applyUpdate(now, member.updateTo(MemberState.SUSPECT, self.id())));
    }

    @Override
    public void probeAnswered() {
      localHealth.improve();
    }
  }

  /**
   * What is said about a member, here or by a peer:
   *
   * <ol>
   *   <li>about this router: refuted if it is wrong;
   *   <li>about a member outside the peer list: dropped, the sender has another list;
   *   <li>a suspicion that is held already: a confirmation of it, which shortens its timeout;
   *   <li>one that {@linkplain MembershipUpdate#overrides overrides} what is held: held from now on
   *       and passed on, a suspicion with a timeout;
   *   <li>anything else: dropped, as something newer is held.
   * </ol>
   */
  private void applyUpdate(long now, MembershipUpdate update) {
    if (update.member().equals(self.id())) {
      refuteIfWrong(update);
      return;
    }
    members.find(update.member()).ifPresent(member -> applyUpdate(now, member, update));
  }

  private void applyUpdate(long now, Member member, MembershipUpdate update) {
    if (update.state() == MemberState.SUSPECT && member.isSuspectAt(update.incarnation())) {
      suspicionTimers.confirm(member, update.origin());
      return;
    }
    if (!update.overrides(member.state(), member.incarnation())) {
      return;
    }
    members.apply(member, update, now);
    dissemination.add(update);
    if (update.state() == MemberState.SUSPECT) {
      counters.countSuspected();
      suspicionTimers.confirm(member, update.origin());
    } else if (update.state() == MemberState.DEAD) {
      counters.countDeclaredDead();
    }
  }

  /** Whoever suspects this router has lost messages to or from it, so its own health counts too. */
  private void refuteIfWrong(MembershipUpdate update) {
    if (self.mustRefute(update)) {
      counters.countRefutation();
      self.refute(update);
      localHealth.degrade();
      dissemination.add(self.update(MemberState.ALIVE));
    }
  }
}
