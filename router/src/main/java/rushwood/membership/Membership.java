package rushwood.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One router's view of its tier: SWIM's probes, indirect probes and piggybacked news, with
 * suspicion, incarnations and Lifeguard's local health and shrinking timeouts ({@code
 * docs/design-membership.md}). No I/O: time comes in as whole nanoseconds, chance from a seed, and what
 * is to be sent goes out as {@link Out}s for the caller to write.
 */
public final class Membership {
  /** A datagram to be sent. */
  public record OutgoingMessage(MemberId to, PeerMessage message) {}

  /** What was seen, for the counters. */
  public static final class Counters {
    public long unknownSenders;
    public long suspected;
    public long declaredDead;
    public long refutations;

    /**
     * Probes sent to a member held dead lately, to hear whether a split has healed: not members
     * come back.
     */
    public long revivalProbes;

    public long missedProbes;
  }

  private static final long NANOS_PER_MILLI = 1_000_000L;
  // Words a datagram carries at most: 21 bytes each after a header of 25 leave room for 11 in 256;
  // one is kept spare.
  static final int MAX_UPDATES_PER_DATAGRAM = 10;
  // Members there may be: the platform's tiers have 100 routers; the bound guards the memory of a
  // list gone wrong.
  static final int MAX_MEMBERS = 1024;
  private static final int REVIVAL_PROBE_INTERVAL =
      4; // of the probes, one goes to a member held dead, while it is recent

  private static final class Member {
    final MemberId id;
    MemberState state = MemberState.ALIVE;
    long incarnation;
    long stateSince;
    final Set<MemberId> confirmers = new TreeSet<>();

    Member(MemberId id, long now) {
      this.id = id;
      this.stateSince = now;
    }
  }

  private static final class PendingUpdate {
    final MembershipUpdate update;
    int sendsLeft;

    PendingUpdate(MembershipUpdate update, int sendsLeft) {
      this.update = update;
      this.sendsLeft = sendsLeft;
    }
  }

  private record Probe(MemberId target, int sequenceNumber, long sentAt) {}

  private record RelayedProbe(MemberId requester, int sequenceNumber, long expiresAt) {}

  private record Timer(long dueAt, long order, Runnable task) {}

  private final MemberId self;
  private final MembershipSettings settings;
  private final SplittableRandom random;
  private final Map<MemberId, Member> members = new TreeMap<>();
  private final List<MemberId> probeOrder = new ArrayList<>();
  private final Deque<PendingUpdate> pendingUpdates = new ArrayDeque<>();
  private final Map<Integer, RelayedProbe> relayedProbes = new TreeMap<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::dueAt).thenComparingLong(Timer::order));
  private final List<OutgoingMessage> outbox = new ArrayList<>();
  private final Counters counters = new Counters();
  private long incarnation;
  private long timerOrder;
  private int lastSequenceNumber;
  private int nextProbeIndex;
  private int probesStarted;
  private int localHealthScore;
  private Probe currentProbe;
  private boolean acked;
  private boolean leaving;
  private long version;
  private long lastChangeAt;

  /**
   * With the members of the tier (this one among them or not), started at {@code now} on Unix time:
   * the incarnation is the start in milliseconds, so that a restart under the same address outbids
   * its earlier life.
   */
  public Membership(
      MemberId self, List<MemberId> peers, MembershipSettings settings, long seed, long now) {
    if (peers.size() > MAX_MEMBERS) {
      throw new IllegalArgumentException(
          "fleet: " + peers.size() + " peers, " + MAX_MEMBERS + " at most");
    }
    this.self = self;
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    this.incarnation = Math.max(1, now / NANOS_PER_MILLI);
    for (MemberId peer : peers) {
      if (!peer.equals(self)) {
        members.putIfAbsent(peer, new Member(peer, now));
      }
    }
    lastChangeAt = now;
    disseminate(new MembershipUpdate(self, MemberState.ALIVE, incarnation, self));
    schedule(now, () -> probeNext(now));
  }

  // ---- what the caller asks

  /** Runs what is due by {@code now}; what is to be sent. */
  public List<OutgoingMessage> tick(long now) {
    for (Timer timer = timers.peek();
        timer != null && timer.dueAt() <= now;
        timer = timers.peek()) {
      timers.poll();
      timer.task().run();
    }
    return drainOutbox();
  }

  /** When {@link #tick} is next wanted. */
  public long nextDue() {
    Timer timer = timers.peek();
    return timer == null ? Long.MAX_VALUE : timer.dueAt();
  }

  /** A datagram from {@code from}, checked whole already; what is to be sent. */
  public List<OutgoingMessage> received(long now, MemberId from, PeerMessage message) {
    Member sender = members.get(from);
    // The codec bounds the words already; this guards callers that build messages themselves
    // (tests, a
    // future transport) and could only harm a datagram the codec would have refused too.
    if (sender == null || message.updates().size() > MAX_UPDATES_PER_DATAGRAM) {
      counters.unknownSenders++;
      return drainOutbox();
    }
    applyUpdate(now, new MembershipUpdate(from, MemberState.ALIVE, message.incarnation(), from));
    message.updates().forEach(update -> applyUpdate(now, update));
    switch (message.kind()) {
      case PING -> send(from, PeerMessage.Kind.ACK, message.sequenceNumber(), self);
      case PING_REQ -> relayProbe(now, from, message);
      case ACK -> ackReceived(from, message.sequenceNumber());
      default -> throw new IllegalStateException("kind " + message.kind());
    }
    return drainOutbox();
  }

  /** SIGTERM: the tier is told that this member leaves; it probes no more. */
  public List<OutgoingMessage> leave(long now) {
    leaving = true;
    MembershipUpdate leaveUpdate = new MembershipUpdate(self, MemberState.LEFT, incarnation, self);
    disseminate(leaveUpdate);
    List<MemberId> active = activeMembers();
    for (int i = 0; i < Math.min(active.size(), settings.indirectProbes() + 1); i++) {
      MemberId to = active.get(random.nextInt(active.size()));
      outbox.add(
          new OutgoingMessage(
              to,
              new PeerMessage(
                  PeerMessage.Kind.PING,
                  incarnation,
                  ++lastSequenceNumber,
                  to,
                  List.of(leaveUpdate))));
    }
    return drainOutbox();
  }

  // ---- what the view says

  public MemberState stateOf(MemberId member) {
    Member known = members.get(member);
    return known == null ? null : known.state;
  }

  /**
   * The incarnation held of a member, or -1 for one outside the list (incarnations are start times,
   * never -1).
   */
  public long incarnationOf(MemberId member) {
    if (member.equals(self)) {
      return incarnation;
    }
    Member known = members.get(member);
    return known == null ? -1 : known.incarnation;
  }

  /** Members that are there, this one with them. */
  public int size() {
    return activeMembers().size() + 1;
  }

  /** Moves with each change of a member's state. */
  public long version() {
    return version;
  }

  public boolean isStable(long now) {
    return now - lastChangeAt >= settings.stableAfterNanos();
  }

  public long incarnation() {
    return incarnation;
  }

  public int localHealthScore() {
    return localHealthScore;
  }

  public Counters counters() {
    return counters;
  }

  // ---- probes

  private void probeNext(long now) {
    if (leaving) {
      return;
    }
    if (currentProbe != null && !acked) {
      probeMissed(now, currentProbe.target());
    }
    MemberId target = pickTarget(now);
    currentProbe = null;
    acked = false;
    long stretch = localHealthScore + 1L;
    if (target != null) {
      currentProbe = new Probe(target, ++lastSequenceNumber, now);
      Probe sent = currentProbe;
      send(target, PeerMessage.Kind.PING, sent.sequenceNumber(), target);
      schedule(now + settings.ackTimeoutNanos() * stretch, () -> sendIndirectProbes(sent));
    }
    long nextAt = now + settings.probePeriodNanos() * stretch;
    schedule(nextAt, () -> probeNext(nextAt));
  }

  /**
   * Round-robin over a shuffle made anew each round; now and then a member held dead lately, to
   * heal a split.
   */
  private MemberId pickTarget(long now) {
    if (++probesStarted % REVIVAL_PROBE_INTERVAL == 0) {
      List<MemberId> dead =
          members.values().stream()
              .filter(
                  member ->
                      member.state == MemberState.DEAD
                          && now - member.stateSince < settings.deadRetentionNanos())
              .map(member -> member.id)
              .toList();
      if (!dead.isEmpty()) {
        counters.revivalProbes++;
        return dead.get(random.nextInt(dead.size()));
      }
    }
    for (int tries = 0; tries <= probeOrder.size(); tries++) {
      if (nextProbeIndex >= probeOrder.size()) {
        reshuffle();
        if (probeOrder.isEmpty()) {
          return null;
        }
      }
      MemberId candidate = probeOrder.get(nextProbeIndex++);
      Member known = members.get(candidate);
      if (known != null && known.state.isActive()) {
        return candidate;
      }
    }
    return null;
  }

  private void reshuffle() {
    probeOrder.clear();
    probeOrder.addAll(activeMembers());
    for (int i = probeOrder.size() - 1; i > 0; i--) {
      int j = random.nextInt(i + 1);
      probeOrder.set(i, probeOrder.set(j, probeOrder.get(i)));
    }
    nextProbeIndex = 0;
  }

  private void sendIndirectProbes(Probe sent) {
    if (currentProbe != sent || acked) {
      return;
    }
    List<MemberId> others = new ArrayList<>(activeMembers());
    others.remove(sent.target());
    for (int i = 0; i < settings.indirectProbes() && !others.isEmpty(); i++) {
      MemberId via = others.remove(random.nextInt(others.size()));
      send(via, PeerMessage.Kind.PING_REQ, sent.sequenceNumber(), sent.target());
    }
  }

  private void probeMissed(long now, MemberId target) {
    counters.missedProbes++;
    localHealthScore = Math.min(settings.maxLocalHealthScore(), localHealthScore + 1);
    Member known = members.get(target);
    if (known != null && known.state == MemberState.ALIVE) {
      applyUpdate(now, new MembershipUpdate(target, MemberState.SUSPECT, known.incarnation, self));
    }
  }

  private void ackReceived(MemberId from, int sequenceNumber) {
    if (currentProbe != null && sequenceNumber == currentProbe.sequenceNumber()) {
      if (!acked && from.equals(currentProbe.target())) {
        localHealthScore = Math.max(0, localHealthScore - 1);
      }
      acked = true;
      return;
    }
    RelayedProbe relay = relayedProbes.remove(sequenceNumber);
    if (relay != null) {
      send(relay.requester(), PeerMessage.Kind.ACK, relay.sequenceNumber(), self);
    }
  }

  private void relayProbe(long now, MemberId requester, PeerMessage message) {
    Member target = members.get(message.target());
    if (target == null || relayedProbes.size() >= MAX_MEMBERS) {
      return;
    }
    int sequenceNumber = ++lastSequenceNumber;
    relayedProbes.put(
        sequenceNumber,
        new RelayedProbe(requester, message.sequenceNumber(), now + settings.probePeriodNanos()));
    send(message.target(), PeerMessage.Kind.PING, sequenceNumber, message.target());
    schedule(now + settings.probePeriodNanos(), () -> relayedProbes.remove(sequenceNumber));
  }

  // ---- news

  /** A word about a member: taken where it is newer than what is held. */
  private void applyUpdate(long now, MembershipUpdate update) {
    if (update.member().equals(self)) {
      refute(update);
      return;
    }
    Member member = members.get(update.member());
    if (member == null) {
      return; // a member this router does not have: its list is another's
    }
    if (update.state() == MemberState.SUSPECT
        && member.state == MemberState.SUSPECT
        && update.incarnation() == member.incarnation) {
      confirmSuspicion(member, update.origin());
      return;
    }
    if (!update.overrides(member.state, member.incarnation)) {
      return;
    }
    MemberState previousState = member.state;
    member.incarnation = update.incarnation();
    member.state = update.state();
    member.confirmers.clear();
    if (previousState != member.state) {
      member.stateSince = now;
      version++;
      lastChangeAt = now;
    }
    disseminate(update);
    if (update.state() == MemberState.SUSPECT) {
      counters.suspected++;
      confirmSuspicion(member, update.origin());
    } else if (update.state() == MemberState.DEAD) {
      counters.declaredDead++;
    }
  }

  /**
   * A suspicion of this router: the next incarnation says it is alive, and its own verdicts count
   * for less.
   */
  private void refute(MembershipUpdate update) {
    if (leaving || update.state() == MemberState.ALIVE || update.incarnation() < incarnation) {
      return;
    }
    counters.refutations++;
    incarnation = update.incarnation() + 1;
    localHealthScore = Math.min(settings.maxLocalHealthScore(), localHealthScore + 1);
    disseminate(new MembershipUpdate(self, MemberState.ALIVE, incarnation, self));
  }

  /** Each independent word shortens the wait (Lifeguard); at its end the suspect is dead. */
  private void confirmSuspicion(Member suspect, MemberId origin) {
    if (suspect.confirmers.size() < settings.maxConfirmations()) {
      suspect.confirmers.add(origin);
    }
    long suspectedAt = suspect.stateSince;
    long suspectedIncarnation = suspect.incarnation;
    long timeoutAt = suspectedAt + suspicionTimeout(suspect.confirmers.size() - 1);
    schedule(
        timeoutAt,
        () -> {
          if (suspect.state == MemberState.SUSPECT
              && suspect.incarnation == suspectedIncarnation
              && suspect.stateSince == suspectedAt) {
            applyUpdate(
                timeoutAt,
                new MembershipUpdate(suspect.id, MemberState.DEAD, suspectedIncarnation, self));
          }
        });
  }

  /**
   * Lifeguard's formula: from the most with no confirmation to the least with all that are counted.
   */
  long suspicionTimeout(int confirmations) {
    double share =
        Math.log(Math.max(0, confirmations) + 1.0) / Math.log(settings.maxConfirmations() + 1.0);
    long span = settings.maxSuspicionNanos() - settings.minSuspicionNanos();
    return (long)
            Math.max(
                settings.minSuspicionNanos(),
                settings.maxSuspicionNanos() - span * Math.min(1.0, share))
        * (localHealthScore + 1L);
  }

  private void disseminate(MembershipUpdate update) {
    pendingUpdates.removeIf(pending -> pending.update.member().equals(update.member()));
    int logSize = 64 - Long.numberOfLeadingZeros(members.size() + 1L);
    pendingUpdates.addFirst(new PendingUpdate(update, settings.retransmitMultiplier() * logSize));
  }

  /** The newest words first, each until it has been sent often enough. */
  private List<MembershipUpdate> updatesFor(MemberId to) {
    List<MembershipUpdate> carried = new ArrayList<>();
    Member target = members.get(to);
    if (target != null && target.state == MemberState.DEAD) {
      carried.add(
          new MembershipUpdate(
              to, MemberState.DEAD, target.incarnation, self)); // so that it can refute
    }
    for (PendingUpdate pending : pendingUpdates) {
      if (carried.size() >= MAX_UPDATES_PER_DATAGRAM) {
        break;
      }
      if (!pending.update.member().equals(to) || pending.update.state() != MemberState.DEAD) {
        carried.add(pending.update);
        pending.sendsLeft--;
      }
    }
    pendingUpdates.removeIf(pending -> pending.sendsLeft <= 0);
    return carried;
  }

  // ---- the rest

  private void send(MemberId to, PeerMessage.Kind kind, int sequenceNumber, MemberId target) {
    outbox.add(
        new OutgoingMessage(
            to, new PeerMessage(kind, incarnation, sequenceNumber, target, updatesFor(to))));
  }

  private List<MemberId> activeMembers() {
    return members.values().stream()
        .filter(member -> member.state.isActive())
        .map(member -> member.id)
        .toList();
  }

  private void schedule(long dueAt, Runnable task) {
    timers.add(new Timer(dueAt, timerOrder++, task));
  }

  private List<OutgoingMessage> drainOutbox() {
    List<OutgoingMessage> out = List.copyOf(outbox);
    outbox.clear();
    return out;
  }
}
