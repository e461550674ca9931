package rushwood.membership;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;

/**
 * One router's view of the members of its deployment. The caller passes in the time and the
 * messages received, and sends the messages that the methods return.
 *
 * <p>Of two updates about a member, the one with the higher incarnation overrides the other; at the
 * same incarnation, the one whose state comes later in {@link MemberState} does. Times are Unix
 * times in nanoseconds.
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
   * Creates a view in which all peers are alive, and schedules the first probe for {@code now}.
   *
   * @param localId this router's address, as in the peer lists of the other routers
   * @param peers the members of the deployment, with or without this router; at most 1,024
   * @param seed seed of the random choice of members to probe, to relay probes and to notify
   * @param now time of the start, which determines the first incarnation
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
    prober = new Prober(settings, targets, localHealth, outbox, timers, new ProbeListener());
    probeRelay = new ProbeRelay(self, settings, members, outbox, timers);
    dissemination.add(self.newUpdate(MemberState.ALIVE));
    prober.start(now);
  }

  /**
   * Runs the tasks that are due at or before {@code now}.
   *
   * @return the messages to send
   */
  public List<OutgoingMessage> tick(long now) {
    timers.runDue(now);
    return outbox.drain();
  }

  /**
   * Returns the time at which {@link #tick} has to be called next; {@link Long#MAX_VALUE} for
   * never.
   */
  public long nextTickAt() {
    return timers.nextDueAt();
  }

  /**
   * Handles a message from another member. The message is dropped and counted if its sender is not
   * in the peer list or if it has more updates than {@link DatagramCodec} accepts, which is
   * possible only for a message that did not come through the codec.
   *
   * @return the messages to send
   */
  public List<OutgoingMessage> handleMessage(long now, MemberId from, PeerMessage message) {
    if (!members.contains(from) || message.updates().size() > DatagramCodec.MAX_UPDATES) {
      counters.countDroppedMessage();
      return outbox.drain();
    }
    applyUpdate(now, new MembershipUpdate(from, MemberState.ALIVE, message.incarnation(), from));
    message.updates().forEach(update -> applyUpdate(now, update));
    switch (message.kind()) {
      case PING -> outbox.send(from, PeerMessage.Kind.ACK, message.sequenceNumber(), self.id());
      case PING_REQ -> probeRelay.relay(now, from, message);
      case ACK -> handleAck(from, message.sequenceNumber());
    }
    return outbox.drain();
  }

  private void handleAck(MemberId from, int sequenceNumber) {
    if (!prober.handleAck(from, sequenceNumber)) {
      probeRelay.handleAck(sequenceNumber);
    }
  }

  /**
   * Announces this router's shutdown to some members and stops probing.
   *
   * @return the messages to send
   */
  public List<OutgoingMessage> leave() {
    self.markLeaving();
    prober.stop();
    MembershipUpdate left = self.newUpdate(MemberState.LEFT);
    dissemination.add(left);
    List<MemberId> active = members.activeMembers();
    int recipients = Math.min(active.size(), settings.indirectProbes() + 1);
    for (int i = 0; i < recipients; i++) {
      MemberId to = active.get(random.nextInt(active.size()));
      outbox.send(to, PeerMessage.Kind.PING, outbox.nextSequenceNumber(), to, List.of(left));
    }
    return outbox.drain();
  }

  /** Returns a member's state; empty for this router and for an id that is not in the peer list. */
  public Optional<MemberState> stateOf(MemberId id) {
    return members.find(id).map(Member::state);
  }

  /** Returns the highest known incarnation of a member; empty if it is not in the peer list. */
  public OptionalLong incarnationOf(MemberId id) {
    if (id.equals(self.id())) {
      return OptionalLong.of(self.incarnation());
    }
    return members.find(id).stream().mapToLong(Member::incarnation).findFirst();
  }

  /** Returns the number of members that are alive or suspect, including this router. */
  public int size() {
    return members.activeMembers().size() + 1;
  }

  /** Returns the number of changes of another member's state since the start. */
  public long version() {
    return members.version();
  }

  /**
   * Returns whether no member's state has changed for {@link MembershipSettings#stableAfterNanos}.
   */
  public boolean isStable(long now) {
    return now - members.lastChangeAt() >= settings.stableAfterNanos();
  }

  /** Returns this router's own incarnation. */
  public long incarnation() {
    return self.incarnation();
  }

  /** Returns the local health score: 0 for good health; timeouts grow with the score. */
  public int localHealthScore() {
    return localHealth.score();
  }

  /** Returns the live counters, not a copy. */
  public MembershipCounters counters() {
    return counters;
  }

  private final class ProbeListener implements Prober.Listener {
    @Override
    public void probeMissed(long now, MemberId target) {
      counters.countMissedProbe();
      localHealth.degrade();
      members
          .find(target)
          .filter(member -> member.state() == MemberState.ALIVE)
          .ifPresent(member -> applyUpdate(now, member.newUpdate(MemberState.SUSPECT, self.id())));
    }

    @Override
    public void probeAnswered() {
      localHealth.improve();
    }
  }

  /**
   * Applies an update that this router or a peer created:
   *
   * <ol>
   *   <li>an update about this router is refuted if it is false;
   *   <li>an update about a member that is not in the peer list is ignored: the sender's peer list
   *       differs from this router's;
   *   <li>a repeated suspicion at the same incarnation counts as a confirmation, which shortens the
   *       suspicion timeout;
   *   <li>an update that {@linkplain MembershipUpdate#overrides overrides} the known state is
   *       adopted and disseminated, and a suspicion starts its timeout;
   *   <li>any other update is ignored, because the known state is newer.
   * </ol>
   */
  private void applyUpdate(long now, MembershipUpdate update) {
    if (update.member().equals(self.id())) {
      refuteIfFalse(update);
      return;
    }
    members.find(update.member()).ifPresent(member -> applyUpdate(now, member, update));
  }

  private void applyUpdate(long now, Member member, MembershipUpdate update) {
    if (update.state() == MemberState.SUSPECT && member.isSuspectAt(update.incarnation())) {
      suspicionTimers.recordSuspicion(member, update.origin());
      return;
    }
    if (!update.overrides(member.state(), member.incarnation())) {
      return;
    }
    members.apply(member, update, now);
    dissemination.add(update);
    if (update.state() == MemberState.SUSPECT) {
      counters.countSuspected();
      suspicionTimers.recordSuspicion(member, update.origin());
    } else if (update.state() == MemberState.DEAD) {
      counters.countDeclaredDead();
    }
  }

  /**
   * Refutes an update that falsely says that this router is not alive. Messages to or from this
   * router were lost or late, possibly by its own fault, so its local health degrades.
   */
  private void refuteIfFalse(MembershipUpdate update) {
    if (self.mustRefute(update)) {
      counters.countRefutation();
      self.refute(update);
      localHealth.degrade();
      dissemination.add(self.newUpdate(MemberState.ALIVE));
    }
  }
}
