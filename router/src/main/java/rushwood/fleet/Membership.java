package rushwood.fleet;

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
 * docs/design-fleet.md}). No I/O: time comes in as whole nanoseconds, chance from a seed, and what
 * is to be sent goes out as {@link Out}s for the caller to write.
 */
public final class Membership {
  /** A datagram to be sent. */
  public record Out(MemberId to, Message message) {}

  /** What was seen, for the counters. */
  public static final class Counts {
    public long strangers;
    public long suspected;
    public long died;
    public long refuted;

    /**
     * Probes sent to a member held dead lately, to hear whether a split has healed: not members
     * come back.
     */
    public long revivalProbes;

    public long probesMissed;
  }

  private static final long MS = 1_000_000L;
  // Words a datagram carries at most: 21 bytes each after a header of 25 leave room for 11 in 256;
  // one is kept spare.
  static final int MOST_NEWS = 10;
  // Members there may be: the platform's tiers have 100 routers; the bound guards the memory of a
  // list gone wrong.
  static final int MOST_MEMBERS = 1024;
  private static final int REVIVE_EVERY =
      4; // of the probes, one goes to a member held dead, while it is recent

  private static final class Member {
    final MemberId id;
    MemberState state = MemberState.ALIVE;
    long incarnation;
    long since;
    final Set<MemberId> confirmers = new TreeSet<>();

    Member(MemberId id, long now) {
      this.id = id;
      this.since = now;
    }
  }

  private static final class Rumour {
    final News news;
    int left;

    Rumour(News news, int left) {
      this.news = news;
      this.left = left;
    }
  }

  private record Probe(MemberId target, int number, long at) {}

  private record Relay(MemberId asker, int number, long until) {}

  private record Due(long at, long order, Runnable task) {}

  private final MemberId self;
  private final FleetSettings settings;
  private final SplittableRandom chance;
  private final Map<MemberId, Member> members = new TreeMap<>();
  private final List<MemberId> order = new ArrayList<>();
  private final Deque<Rumour> rumours = new ArrayDeque<>();
  private final Map<Integer, Relay> relays = new TreeMap<>();
  private final PriorityQueue<Due> dues =
      new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
  private final List<Out> outbox = new ArrayList<>();
  private final Counts counts = new Counts();
  private long incarnation;
  private long dueOrder;
  private int number;
  private int next;
  private int probes;
  private int health;
  private Probe probe;
  private boolean acked;
  private boolean leaving;
  private long version;
  private long changedAt;

  /**
   * With the members of the tier (this one among them or not), started at {@code now} on Unix time:
   * the incarnation is the start in milliseconds, so that a restart under the same address outbids
   * its earlier life.
   */
  public Membership(
      MemberId self, List<MemberId> peers, FleetSettings settings, long seed, long now) {
    if (peers.size() > MOST_MEMBERS) {
      throw new IllegalArgumentException(
          "fleet: " + peers.size() + " peers, " + MOST_MEMBERS + " at most");
    }
    this.self = self;
    this.settings = settings;
    this.chance = new SplittableRandom(seed);
    this.incarnation = Math.max(1, now / MS);
    for (MemberId peer : peers) {
      if (!peer.equals(self)) {
        members.putIfAbsent(peer, new Member(peer, now));
      }
    }
    changedAt = now;
    spread(new News(self, MemberState.ALIVE, incarnation, self));
    at(now, () -> probeNext(now));
  }

  // ---- what the caller asks

  /** Runs what is due by {@code now}; what is to be sent. */
  public List<Out> tick(long now) {
    for (Due due = dues.peek(); due != null && due.at() <= now; due = dues.peek()) {
      dues.poll();
      due.task().run();
    }
    return drain();
  }

  /** When {@link #tick} is next wanted. */
  public long nextDue() {
    Due due = dues.peek();
    return due == null ? Long.MAX_VALUE : due.at();
  }

  /** A datagram from {@code from}, checked whole already; what is to be sent. */
  public List<Out> received(long now, MemberId from, Message message) {
    Member sender = members.get(from);
    // The codec bounds the words already; this guards callers that build messages themselves
    // (tests, a
    // future transport) and could only harm a datagram the codec would have refused too.
    if (sender == null || message.news().size() > MOST_NEWS) {
      counts.strangers++;
      return drain();
    }
    hear(now, new News(from, MemberState.ALIVE, message.incarnation(), from));
    message.news().forEach(news -> hear(now, news));
    switch (message.kind()) {
      case PING -> send(from, Message.Kind.ACK, message.number(), self);
      case PING_REQ -> relay(now, from, message);
      case ACK -> acked(from, message.number());
      default -> throw new IllegalStateException("kind " + message.kind());
    }
    return drain();
  }

  /** SIGTERM: the tier is told that this member leaves; it probes no more. */
  public List<Out> leave(long now) {
    leaving = true;
    News left = new News(self, MemberState.LEFT, incarnation, self);
    spread(left);
    List<MemberId> there = there();
    for (int i = 0; i < Math.min(there.size(), settings.indirect() + 1); i++) {
      MemberId to = there.get(chance.nextInt(there.size()));
      outbox.add(
          new Out(to, new Message(Message.Kind.PING, incarnation, ++number, to, List.of(left))));
    }
    return drain();
  }

  // ---- what the view says

  public MemberState stateOf(MemberId member) {
    Member held = members.get(member);
    return held == null ? null : held.state;
  }

  /**
   * The incarnation held of a member, or -1 for one outside the list (incarnations are start times,
   * never -1).
   */
  public long incarnationOf(MemberId member) {
    if (member.equals(self)) {
      return incarnation;
    }
    Member held = members.get(member);
    return held == null ? -1 : held.incarnation;
  }

  /** Members that are there, this one with them. */
  public int size() {
    return there().size() + 1;
  }

  /** Moves with each change of a member's state. */
  public long version() {
    return version;
  }

  public boolean settled(long now) {
    return now - changedAt >= settings.settleAfter();
  }

  public long incarnation() {
    return incarnation;
  }

  public int health() {
    return health;
  }

  public Counts counts() {
    return counts;
  }

  // ---- probes

  private void probeNext(long now) {
    if (leaving) {
      return;
    }
    if (probe != null && !acked) {
      missed(now, probe.target());
    }
    MemberId target = pick(now);
    probe = null;
    acked = false;
    long stretch = health + 1L;
    if (target != null) {
      probe = new Probe(target, ++number, now);
      Probe sent = probe;
      send(target, Message.Kind.PING, sent.number(), target);
      at(now + settings.ackWithin() * stretch, () -> askOthers(sent));
    }
    long then = now + settings.period() * stretch;
    at(then, () -> probeNext(then));
  }

  /**
   * Round-robin over a shuffle made anew each round; now and then a member held dead lately, to
   * heal a split.
   */
  private MemberId pick(long now) {
    if (++probes % REVIVE_EVERY == 0) {
      List<MemberId> dead =
          members.values().stream()
              .filter(m -> m.state == MemberState.DEAD && now - m.since < settings.deadKeep())
              .map(m -> m.id)
              .toList();
      if (!dead.isEmpty()) {
        counts.revivalProbes++;
        return dead.get(chance.nextInt(dead.size()));
      }
    }
    for (int tries = 0; tries <= order.size(); tries++) {
      if (next >= order.size()) {
        reshuffle();
        if (order.isEmpty()) {
          return null;
        }
      }
      MemberId candidate = order.get(next++);
      Member held = members.get(candidate);
      if (held != null && held.state.isThere()) {
        return candidate;
      }
    }
    return null;
  }

  private void reshuffle() {
    order.clear();
    order.addAll(there());
    for (int i = order.size() - 1; i > 0; i--) {
      int j = chance.nextInt(i + 1);
      order.set(i, order.set(j, order.get(i)));
    }
    next = 0;
  }

  private void askOthers(Probe sent) {
    if (probe != sent || acked) {
      return;
    }
    List<MemberId> others = new ArrayList<>(there());
    others.remove(sent.target());
    for (int i = 0; i < settings.indirect() && !others.isEmpty(); i++) {
      MemberId via = others.remove(chance.nextInt(others.size()));
      send(via, Message.Kind.PING_REQ, sent.number(), sent.target());
    }
  }

  private void missed(long now, MemberId target) {
    counts.probesMissed++;
    health = Math.min(settings.healthMost(), health + 1);
    Member held = members.get(target);
    if (held != null && held.state == MemberState.ALIVE) {
      hear(now, new News(target, MemberState.SUSPECT, held.incarnation, self));
    }
  }

  private void acked(MemberId from, int answered) {
    if (probe != null && answered == probe.number()) {
      if (!acked && from.equals(probe.target())) {
        health = Math.max(0, health - 1);
      }
      acked = true;
      return;
    }
    Relay relay = relays.remove(answered);
    if (relay != null) {
      send(relay.asker(), Message.Kind.ACK, relay.number(), self);
    }
  }

  private void relay(long now, MemberId asker, Message message) {
    Member target = members.get(message.target());
    if (target == null || relays.size() >= MOST_MEMBERS) {
      return;
    }
    int mine = ++number;
    relays.put(mine, new Relay(asker, message.number(), now + settings.period()));
    send(message.target(), Message.Kind.PING, mine, message.target());
    at(now + settings.period(), () -> relays.remove(mine));
  }

  // ---- news

  /** A word about a member: taken where it is newer than what is held. */
  private void hear(long now, News news) {
    if (news.member().equals(self)) {
      refute(news);
      return;
    }
    Member held = members.get(news.member());
    if (held == null) {
      return; // a member this router does not have: its list is another's
    }
    if (news.state() == MemberState.SUSPECT
        && held.state == MemberState.SUSPECT
        && news.incarnation() == held.incarnation) {
      confirm(held, news.by());
      return;
    }
    if (!news.overrides(held.state, held.incarnation)) {
      return;
    }
    MemberState was = held.state;
    held.incarnation = news.incarnation();
    held.state = news.state();
    held.confirmers.clear();
    if (was != held.state) {
      held.since = now;
      version++;
      changedAt = now;
    }
    spread(news);
    if (news.state() == MemberState.SUSPECT) {
      counts.suspected++;
      confirm(held, news.by());
    } else if (news.state() == MemberState.DEAD) {
      counts.died++;
    }
  }

  /**
   * A suspicion of this router: the next incarnation says it is alive, and its own verdicts count
   * for less.
   */
  private void refute(News news) {
    if (leaving || news.state() == MemberState.ALIVE || news.incarnation() < incarnation) {
      return;
    }
    counts.refuted++;
    incarnation = news.incarnation() + 1;
    health = Math.min(settings.healthMost(), health + 1);
    spread(new News(self, MemberState.ALIVE, incarnation, self));
  }

  /** Each independent word shortens the wait (Lifeguard); at its end the suspect is dead. */
  private void confirm(Member held, MemberId by) {
    if (held.confirmers.size() < settings.confirmations()) {
      held.confirmers.add(by);
    }
    long suspectedAt = held.since;
    long incarnationThen = held.incarnation;
    long end = suspectedAt + timeout(held.confirmers.size() - 1);
    at(
        end,
        () -> {
          if (held.state == MemberState.SUSPECT
              && held.incarnation == incarnationThen
              && held.since == suspectedAt) {
            hear(end, new News(held.id, MemberState.DEAD, incarnationThen, self));
          }
        });
  }

  /**
   * Lifeguard's formula: from the most with no confirmation to the least with all that are counted.
   */
  long timeout(int confirmed) {
    double share =
        Math.log(Math.max(0, confirmed) + 1.0) / Math.log(settings.confirmations() + 1.0);
    long span = settings.suspicionMax() - settings.suspicionMin();
    return (long)
            Math.max(settings.suspicionMin(), settings.suspicionMax() - span * Math.min(1.0, share))
        * (health + 1L);
  }

  private void spread(News news) {
    rumours.removeIf(rumour -> rumour.news.member().equals(news.member()));
    int logSize = 64 - Long.numberOfLeadingZeros(members.size() + 1L);
    rumours.addFirst(new Rumour(news, settings.sends() * logSize));
  }

  /** The newest words first, each until it has been sent often enough. */
  private List<News> piggyback(MemberId to) {
    List<News> carried = new ArrayList<>();
    Member target = members.get(to);
    if (target != null && target.state == MemberState.DEAD) {
      carried.add(
          new News(to, MemberState.DEAD, target.incarnation, self)); // so that it can refute
    }
    for (Rumour rumour : rumours) {
      if (carried.size() >= MOST_NEWS) {
        break;
      }
      if (!rumour.news.member().equals(to) || rumour.news.state() != MemberState.DEAD) {
        carried.add(rumour.news);
        rumour.left--;
      }
    }
    rumours.removeIf(rumour -> rumour.left <= 0);
    return carried;
  }

  // ---- the rest

  private void send(MemberId to, Message.Kind kind, int numbered, MemberId target) {
    outbox.add(new Out(to, new Message(kind, incarnation, numbered, target, piggyback(to))));
  }

  private List<MemberId> there() {
    return members.values().stream().filter(m -> m.state.isThere()).map(m -> m.id).toList();
  }

  private void at(long when, Runnable task) {
    dues.add(new Due(when, dueOrder++, task));
  }

  private List<Out> drain() {
    List<Out> out = List.copyOf(outbox);
    outbox.clear();
    return out;
  }
}
