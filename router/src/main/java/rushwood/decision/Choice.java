package rushwood.decision;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import rushwood.api.Access;
import rushwood.api.AccessId;
import rushwood.api.Answer;
import rushwood.api.Crowd;
import rushwood.api.Decisions;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.ListedHost;
import rushwood.api.LoadReport;
import rushwood.api.Outlet;
import rushwood.api.Product.Effect;
import rushwood.api.Product.Need;
import rushwood.api.SessionId;
import rushwood.api.Settings;
import rushwood.api.ShotEnd;
import rushwood.decision.HostState.Health;

/**
 * Every decision of one router. A caller makes one with the settings, a source of chance and an
 * Outlet, then calls the methods of rushwood.api.Decisions, which defines the interface, in the
 * order of events; what is decided is done through the Outlet before the call returns. It has no
 * clock: it asks to be woken.
 */
public final class Choice implements Decisions {
  private static final long MS = 1_000_000L;

  private static final long RECHECK = 100 * MS; // between looks at the parked: the design's figure

  /** What a stage says of an access: on to the next, kept for later, or done with. */
  private enum Step {
    PASS,
    KEEP,
    END
  }

  /** A stage of the chain; what comes back runs through the chain in reverse. */
  private interface Stage {
    Step in(Held held, long now);

    void back(Shot shot, Answer answer, long now);
  }

  private final Settings settings;
  private final RandomGenerator chance;
  private final Outlet outlet;
  private final Crowd crowd;
  private final Stage freshness = new Freshness();
  private final Stage sending = new Sending();
  private final List<Stage> chain =
      List.of(new Limits(), new Effects(), freshness, new Placing(), sending);
  private final Map<HostId, HostState> hosts = new LinkedHashMap<>();
  private final Map<GroupId, GroupState> groups =
      new TreeMap<>(Comparator.comparing(GroupId::value));
  private final Map<AccessId, Held> taken = new LinkedHashMap<>();
  private final Writes written = new Writes(SESSIONS);
  private final DueTimes dues;
  private final double[] usual;
  private final long bound;
  private final double slotFloor;
  private final long margin;
  private long nextTick;
  private long closesAt = Long.MAX_VALUE;
  private long askAgain = Long.MAX_VALUE;
  private long askGap;
  private double curiosity;
  private double losses;

  private static final double USUAL_SHARE = 0.25; // of the quoted time, until answers tell: a guess
  private static final int SESSIONS =
      50_000; // remembered: some megabytes, replicas are past older ones
  private static final double FLEET_SLOTS =
      6; // all routers' least at a host: keeps some cores at work

  public Choice(Settings settings, RandomGenerator chance, Outlet outlet) {
    this(settings, chance, outlet, Crowd.plain(settings));
  }

  /** With what is known of crowds. */
  public Choice(Settings settings, RandomGenerator chance, Outlet outlet, Crowd crowd) {
    this.settings = settings;
    this.crowd = crowd;
    this.chance = chance;
    this.outlet = outlet;
    dues = new DueTimes(outlet);
    usual = settings.products().stream().mapToDouble(p -> p.quotedTime() * USUAL_SHARE).toArray();
    bound =
        settings.products().stream()
            .filter(p -> p.need() == Need.BOUNDED)
            .mapToLong(p -> p.bound())
            .min()
            .orElse(5 * RECHECK); // a guess, where no product bounds it
    double share = FLEET_SLOTS / Math.max(1, settings.routers());
    slotFloor = share < 1 ? share : Math.floor(share);
    margin = 2 * settings.resolution();
  }

  private double usual(Held held) {
    return usual[held.product.index()];
  }

  // ---- the list of hosts

  @Override
  public void listed(long now, List<ListedHost> list, boolean remembered) {
    List<HostId> named = list.stream().map(ListedHost::id).toList();
    if (settings.goneBinds()) {
      hosts.values().stream().filter(host -> !named.contains(host.id)).forEach(HostState::leave);
    }
    listChanged(now, list);
    if (remembered) {
      nextTick = now;
      dues.wake(now + settings.resolution());
      if (settings.askForList()) {
        outlet.subscribe();
      }
    }
  }

  /**
   * Nothing new goes to a host from the moment that it is said to drain or be gone, inside any
   * grace.
   */
  @Override
  public void listChanged(long now, List<ListedHost> changes) {
    askGap = 0;
    for (ListedHost listed : changes) {
      HostState host = hosts.computeIfAbsent(listed.id(), id -> new HostState(id, 2 * slotFloor));
      if (listed.state() == ListedHost.State.GONE && !settings.goneBinds()) {
        continue; // such a list does not prove what is up: health decides
      }
      host.listed = listed;
      if (listed.state() != ListedHost.State.IN_SERVICE) {
        host.leave();
        continue;
      }
      GroupState group = group(listed.group());
      group.join(host);
      if (listed.startedAt() > host.warmFrom) { // what was learned of the process before is void
        host.startAnew(listed.startedAt());
      }
      // The list is seconds late: it only fills in where nothing better is known.
      if (listed.primary() && group.primary == null && host.roleAt == HostState.NEVER) {
        group.primary = host;
      }
    }
    groups.values().forEach(group -> group.members.forEach(host -> serve(host, now)));
  }

  private GroupState group(GroupId id) {
    return groups.computeIfAbsent(id, each -> new GroupState());
  }

  /** Asks again with growing, jittered waits, so that routers that failed together part. */
  @Override
  public void listFailed(long now) {
    askGap = Math.min(Math.max(2 * askGap, 2 * RECHECK), settings.askWithin() / 4);
    askAgain = now + askGap / 2 + chance.nextLong(askGap);
    dues.wake(askAgain);
  }

  // ---- accesses

  @Override
  public void arrived(long now, Access access) {
    Held held = new Held(access, group(access.group()), now);
    taken.put(access.id(), held);
    curiosity = Math.min(MOST_CURIOSITY, curiosity + CURIOSITY);
    dues.add(endsAt(held), held);
    run(held, now);
  }

  private void run(Held held, long now) {
    for (Stage stage : chain) {
      Step step = stage.in(held, now);
      if (step == Step.END) {
        finish(held, now);
      }
      if (step != Step.PASS) {
        return;
      }
    }
  }

  @Override
  public void answered(long now, Answer answer) {
    Held held = taken.get(answer.access());
    if (held == null || answer.shot() < 0 || answer.shot() >= held.shots.size()) {
      throw new IllegalArgumentException(
          "unknown shot " + answer.shot() + " of " + answer.access());
    }
    Shot shot = held.shots.get(answer.shot());
    for (int i = chain.size() - 1; i >= 0; i--) {
      chain.get(i).back(shot, answer, now);
    }
    serve(shot.host, now);
    if (!held.over && !held.parked && held.out() == null) {
      run(held, now);
    }
    forget(held);
  }

  @Override
  public void left(long now, AccessId access) {
    Held held = taken.get(access);
    if (held != null && !held.over) {
      withdraw(held);
      held.close();
      forget(held);
    }
  }

  /**
   * The one final answer: a turn-back only where trying again is harmless, else a promise of
   * nothing.
   */
  private void finish(Held held, long now) {
    withdraw(held);
    held.close();
    if (held.product.effect() == Effect.REDOABLE || held.mayHaveRun() == null) {
      // While others wait here a quick retry only lengthens the line: it is asked to stay away.
      outlet.turnBack(
          held.access.id(), crowd.advise(now, held.access, !held.group.first.isEmpty()));
    } else {
      outlet.giveUp(held.access.id());
    }
    forget(held);
  }

  @Override
  public void closing(long now, long at) {
    closesAt = at;
    taken.values().forEach(held -> dues.add(endsAt(held), held));
  }

  private void withdraw(Held held) {
    Shot shot = held.out();
    if (shot != null && !shot.withdrawn && settings.mayCancel()) {
      shot.withdrawn = true;
      outlet.withdraw(held.access.id(), shot.number);
    }
  }

  private void forget(Held held) {
    if (held.over && held.out() == null) {
      taken.remove(held.access.id());
    }
  }

  // ---- stage: the limits of time

  private final class Limits implements Stage {
    @Override
    public Step in(Held held, long now) {
      return now >= endsAt(held) ? Step.END : Step.PASS;
    }

    @Override
    public void back(Shot shot, Answer answer, long now) {
      if (answer.over() && !shot.held.over) {
        shot.held.close();
      }
    }
  }

  // An access that no host has had and that earns nothing late goes back at half of its time: hope
  // is small
  // by then, and its client can still ask again. Harm: a slot a moment later. Others end at their
  // limit.
  private long endsAt(Held held) {
    boolean half = held.shots.isEmpty() && held.product.lateEarnings() == 0;
    long due = held.access.due() - (half ? (held.access.due() - held.arrivedAt) / 2 : 0);
    return Math.min(due, closesAt) - margin;
  }

  // ---- stage: what may happen twice

  private final class Effects implements Stage {
    @Override
    public Step in(Held held, long now) {
      boolean may =
          held.shots.size() < settings.mostShots()
              && held.errors() < MOST_ERRORS
              && (!held.costly() || crowd.mayRepeat(now, held.access.group()));
      return may && mayRepeat(held, null, now) ? Step.PASS : Step.END;
    }

    @Override
    public void back(Shot shot, Answer answer, long now) {
      shot.end = answer.end();
    }
  }

  private static final List<ShotEnd> FAULTS =
      List.of(
          ShotEnd.ERROR,
          ShotEnd.SPOILT,
          ShotEnd.BROKEN,
          ShotEnd.UNSENT); // another host may do better
  private static final int MOST_ERRORS =
      2; // by two hosts: then it is the access that is bad, not a host

  /** Whether a further shot breaks no promise; with a host, whether it may go there. */
  private boolean mayRepeat(Held held, HostState to, long now) {
    Shot ran = held.mayHaveRun();
    if (ran == null || held.product.effect() == Effect.REDOABLE) {
      return true;
    }
    if (held.product.effect() == Effect.IRREVERSIBLE || now >= repeatsTill(held)) {
      return false;
    }
    return to == null || held.product.scope().joins(ran.host.listed, to.listed);
  }

  /**
   * Until when a further shot may begin: a connection that comes up late must not carry it past
   * that.
   */
  private long repeatsTill(Held held) {
    Shot ran = held.product.effect() == Effect.LABELLED ? held.mayHaveRun() : null;
    return ran == null ? Long.MAX_VALUE : ran.sentAt + (long) (held.product.window() * WINDOW_USED);
  }

  private static final double WINDOW_USED =
      0.9; // of a label's window: the rest is for the way to the host

  // ---- stage: how fresh the data must be

  private final class Freshness implements Stage {
    @Override
    public Step in(Held held, long now) {
      held.target =
          switch (held.product.need()) {
            case WRITE, ANY -> HostState.NEVER;
            case CURRENT -> held.arrivedAt;
            case BOUNDED -> now - held.product.bound();
            case SESSION ->
                settings.routerRemembersWrites()
                    ? written.last(held.access.session())
                    : held.access.sinceWrite() == 0
                        ? HostState.NEVER
                        : held.arrivedAt - held.access.sinceWrite() + MS;
          };
      return Step.PASS;
    }

    @Override
    public void back(Shot shot, Answer answer, long now) {
      HostState host = shot.host;
      SessionId session = shot.held.access.session();
      boolean write = shot.held.is(Need.WRITE);
      if (write && answer.end() == ShotEnd.FULFILLED) {
        if (session != null && settings.routerRemembersWrites()) {
          written.add(session, answer.position() >= 0 ? answer.position() : now);
        }
      } else if (answer.position() >= 0) {
        host.stoodAt(answer.position(), now);
      }
      if (answer.primary() != null) {
        learnRole(host, answer.primary(), now);
      }
      learnReport(host, answer.report(), now);
      boolean behind = answer.end() == ShotEnd.BEHIND;
      if (behind || FAULTS.contains(answer.end())) {
        shot.held.missed.add(host);
      }
      if (behind && write) {
        host.deniedAt = now;
        learnRole(host, false, now);
      } else if (behind) {
        host.refusedAt = now;
      }
    }
  }

  /**
   * A primary stands at the present, so the position in its report is the report's own time:
   * reports that arrive late cannot bring back a primary that a later answer has unseated.
   */
  private void learnReport(HostState host, LoadReport report, long now) {
    long position = (long) report.position();
    if (!Double.isNaN(report.position()) && position <= now) {
      host.stoodAt(position, now);
      if (report.primary() != null && position > host.roleAt) {
        learnRole(host, report.primary(), position);
      }
    }
  }

  /**
   * A stuck host has no role until a read there was answered; one that turns writes away hands
   * over.
   */
  private void learnRole(HostState host, boolean primary, long as) {
    GroupState group = host.group;
    if (group == null || primary && (as < host.deniedAt + RECHECK || host.health == Health.STUCK)) {
      return;
    }
    host.roleAt = Math.max(host.roleAt, as);
    if (!primary) {
      group.unseat(host);
    } else if (group.primary != host && (group.primary == null || as > group.primary.roleAt)) {
      outlet.log("primary is " + host.id);
      group.primary = host;
    }
  }

  // ---- stage: which host

  private final class Placing implements Stage {
    @Override
    public Step in(Held held, long now) {
      held.chosen = held.is(Need.WRITE) ? placeWrite(held, now) : placeRead(held, now);
      if (held.chosen == null) {
        held.park();
      }
      return held.chosen == null ? Step.KEEP : Step.PASS;
    }

    @Override
    public void back(Shot shot, Answer answer, long now) {
      shot.host.back(shot);
      shot.held.group.scoutBack(shot.held);
    }
  }

  private static final int FRESH = 0; // how well a host fits a read: known to meet the target
  private static final int LIKELY =
      1; // it met the target if it is no further behind than when last heard
  private static final int LAGGING = 2; // it may be too far behind, and says so itself
  private static final int LAST = 3; // the primary, for reads that a replica could answer
  private static final int NOT = 4;

  private int fit(Held held, HostState host, long now) {
    if (!usable(host, now) || held.missed.contains(host)) {
      return NOT;
    }
    if (isLong(held)) {
      return takesLong(host, now) ? FRESH : host.group.primary == host ? LAST : NOT;
    }
    if (host.group.primary == host) {
      return held.is(Need.CURRENT) ? FRESH : LAST;
    }
    if (host.position >= held.target) {
      return FRESH;
    }
    // Half of what it is behind, two seconds at the most: a guess; it catches up as fast as it
    // applies.
    long catchesUp = Math.max(RECHECK, Math.min(20 * RECHECK, (held.target - host.position) / 2));
    boolean refused = host.refusedAt > now - catchesUp;
    boolean unsafe = settings.behind() == Settings.Behind.ANSWERS;
    if (unsafe || refused || held.is(Need.CURRENT)) {
      return NOT;
    }
    return host.position + (now - host.positionAt) >= held.target ? LIKELY : LAGGING;
  }

  /** The worst fit that a read takes, if any: only for replicas known to be fresh does it wait. */
  private int worstFit(Held held, long now) {
    int best = NOT;
    for (HostState host : held.group.members) {
      best = Math.min(best, fit(held, host, now));
    }
    return best == NOT ? FRESH - 1 : best == FRESH ? LIKELY : Math.max(best, LAGGING);
  }

  /**
   * A read that any member may answer and that lasts longer than the lag that other reads are
   * allowed.
   */
  private boolean isLong(Held held) {
    return held.is(Need.ANY) && usual(held) > bound;
  }

  // Long reads may keep a replica from applying its log. All routers give them to the same few
  // replicas,
  // the first in id order, so that the others stay fresh; after patience the primary, which applies
  // no log,
  // takes some. Harm: those few replicas do little else.
  private boolean takesLong(HostState host, long now) {
    List<HostState> able =
        host.group.replicas().stream().filter(each -> usable(each, now)).toList();
    return able.stream().limit(Math.max(1, able.size() / 3)).anyMatch(each -> each == host);
  }

  /**
   * Two draws by weight decide if both are free and known or likely to be fresh; else all are
   * compared.
   */
  private HostState placeRead(Held held, long now) {
    List<HostState> replicas = held.group.replicas();
    if (replicas.size() > 2 && !isLong(held)) {
      HostState one = GroupState.draw(replicas, chance);
      HostState two = GroupState.draw(replicas, chance);
      boolean fresh = Math.max(fit(held, one, now), fit(held, two, now)) <= LIKELY;
      if (fresh && free(held, one, now) && free(held, two, now)) {
        return better(held, two, one, now) ? two : one;
      }
    }
    int worst = worstFit(held, now);
    if (worst != LIKELY && settings.reports()) {
      probeOldest(held.group, now);
    }
    HostState least = null;
    List<HostState> members = held.group.members;
    int from = isLong(held) || members.isEmpty() ? 0 : chance.nextInt(members.size());
    for (int i = 0; i < members.size(); i++) {
      HostState host = members.get((from + i) % members.size());
      boolean fits = fit(held, host, now) <= worst && free(held, host, now);
      if (fits && (least == null || !isLong(held) && better(held, host, least, now))) {
        least = host;
      }
    }
    return least;
  }

  /**
   * Replicas known to meet the target come first, then those with less in flight for their weight.
   */
  private boolean better(Held held, HostState one, HostState two, long now) {
    int less = fit(held, one, now) - fit(held, two, now);
    return less < 0 || less == 0 && one.load() < two.load();
  }

  /**
   * A read found no replica known to be fresh: the one unheard for longest is asked, if past the
   * bound.
   */
  private void probeOldest(GroupState group, long now) {
    // Probes are few, and a host that is down comes back by nothing else: half of them are left for
    // it.
    // Where answers told no position, reads took every probe and such a host stayed away for good.
    if (chance.nextBoolean() && group.members.stream().anyMatch(host -> isDue(host, now))) {
      return;
    }
    group.replicas().stream()
        .filter(host -> host.health != Health.DOWN && !host.probing)
        .min(Comparator.comparingLong(host -> host.positionAt))
        .filter(host -> host.positionAt < now - bound)
        .ifPresent(this::probe);
  }

  /**
   * To the last known primary; where none is known, one write at a time asks the unheard in id
   * order.
   */
  private HostState placeWrite(Held held, long now) {
    GroupState group = held.group;
    HostState primary = group.primary;
    if (primary != null && usable(primary, now)) {
      return free(held, primary, now) ? primary : null;
    }
    int round = Math.min(group.members.size(), settings.mostShots() / 2);
    if (group.scout != null || held.shots.size() >= round) {
      return null;
    }
    for (HostState host : group.members) {
      boolean unheard = host != primary && host.roleAt < now - HEARD && !held.missed.contains(host);
      if (unheard && usable(host, now) && free(held, host, now)) {
        group.scout = held;
        return host;
      }
    }
    return null;
  }

  private static final long HEARD =
      3 * RECHECK; // how long word of a role holds while no primary is known

  /** Well, or all of its group are not: a verdict on health never empties a group. */
  private boolean usable(HostState host, long now) {
    return host.health == Health.WELL
        || onTrial(host, now)
        || host.group.noneWell() && (host.health != Health.DOWN || crowd.mayTry(now, host.id));
  }

  /** A stuck host may answer probes, so only a shot can tell that it is well: one, now and then. */
  private boolean onTrial(HostState host, long now) {
    return host.health == Health.STUCK && now >= host.nextTrial && curiosity >= 1;
  }

  /**
   * Whether a slot is free for that access, within the cap, the cold budget and the promises made.
   */
  private boolean free(Held held, HostState host, long now) {
    if (onTrial(host, now)) {
      return held.product.effect() == Effect.REDOABLE;
    }
    boolean readOnPrimary = host.group.primary == host && !held.is(Need.WRITE);
    double cap = cap(host, now) * (readOnPrimary ? READS_ON_PRIMARY : 1);
    return host.taken() < cap && mayRepeat(held, host, now) && withinBudget(held, host, now);
  }

  private static final double READS_ON_PRIMARY = 0.5; // of its slots: writes can go nowhere else

  private double cap(HostState host, long now) {
    if (now < host.pausedUntil) {
      return 0;
    }
    double share = Math.max(Math.min(1, 1 / host.cap), coldShare(host, now));
    return host.health != Health.WELL ? 1 : host.cap * share;
  }

  /** The share of its capacity that a host that started lately has at the least. */
  private double warmth(HostState host, long now) {
    double age = (double) (now - host.warmFrom) / settings.coldFor();
    double from = settings.coldFrom();
    return host.warmFrom == 0 || age >= 1 ? 1 : from + (1 - from) * Math.max(0, age);
  }

  /**
   * The share of a warm host's work that a host may get: part of the multiple that would tip it.
   */
  private double coldShare(HostState host, long now) {
    double used = slotFloor < 1 ? MULTIPLE_SHARED : MULTIPLE_USED;
    return Math.min(1, warmth(host, now) * settings.fallMultiple() * used);
  }

  private static final double MULTIPLE_USED =
      0.5; // half is left for chance and for routers that know less
  private static final double MULTIPLE_SHARED =
      0.35; // dozens of routers shoot in no order: more chance

  /**
   * A cold host gets, from each router, no more than its share of what that router's warm hosts get
   * through (with none warm, of its slots): all routers together then stay well under what would
   * tip it.
   */
  private boolean withinBudget(Held held, HostState host, long now) {
    if (warmth(host, now) == 1) {
      return true;
    }
    double sum = 0;
    double weight = 0;
    for (HostState other : hosts.values()) {
      if (other.group != null && other.health == Health.WELL && warmth(other, now) == 1) {
        sum += other.doneRate;
        weight += other.listed.weight();
      }
    }
    double rate =
        coldShare(host, now) * (weight > 0 ? host.listed.weight() * sum / weight : host.cap);
    double most = Math.max(usual(held), rate * settings.fallWindow() * BURST);
    if (host.allowanceAt
        < host.warmFrom) { // each router starts somewhere else: no wave of first shots
      host.allowance = chance.nextDouble() * most;
      host.allowanceAt = now;
    }
    host.allowance = Math.min(most, host.allowance + rate * (now - host.allowanceAt));
    host.allowanceAt = now;
    return host.allowance >= usual(held);
  }

  private static final double BURST =
      0.25; // of a window's allowance may be saved up: early bursts count

  // ---- stage: sending, and what an answer says of the host

  private final class Sending implements Stage {
    @Override
    public Step in(Held held, long now) {
      held.unpark();
      HostState host = held.chosen;
      if (onTrial(host, now)) {
        curiosity--;
        host.nextTrial = now + TRIAL_GAP;
      }
      crowd.sent(now, held.access.group(), held.costly());
      long repeatsTill = repeatsTill(held);
      Shot shot = new Shot(held, host, now, chance.nextInt(CONTROLS) == 0);
      held.shots.add(shot);
      host.out.add(shot);
      host.allowance -= usual(held);
      long timeOut = held.access.due() - margin - now;
      outlet.send(held.access.id(), host.id, timeOut, Math.min(timeOut, repeatsTill - now));
      return Step.KEEP;
    }

    @Override
    public void back(Shot shot, Answer answer, long now) {
      HostState host = shot.host;
      double share = answer.took() / shot.held.timeOfUse();
      switch (answer.end()) {
        case FULFILLED -> {
          usual[shot.held.product.index()] += (answer.took() - usual(shot.held)) * SMOOTH;
          host.doneNow += usual(shot.held);
          losses -= losses * LOSS_SMOOTH / 20; // a sure loss weighs twenty answers
          host.out.forEach(each -> each.overtaken += each.sentAt < shot.sentAt ? 1 : 0);
          callOff(host, now);
          adapt(host, share, now);
          // What one host answers with an error and the next fulfils was the first host's fault.
          shot.held.shots.stream()
              .filter(each -> each.end == ShotEnd.ERROR)
              .forEach(each -> each.host.pausedUntil = now + REST);
        }
        case OVERFULL -> {
          adapt(host, 1, now);
          host.pausedUntil = now + REST;
        }
        case UNREACHED -> trouble(host, host.answeredSince(shot) ? host.health : Health.DOWN, now);
        case EXPIRED -> {
          if (!shot.lost) {
            adapt(host, Math.max(1, share), now);
          }
        }
        case BROKEN -> trouble(host, host.out.size() > 1 ? host.health : Health.DOWN, now); // last
        case WITHDRAWN, ERROR, BEHIND, SPOILT, UNSENT -> {}
      }
      host.lastAnswer = answer.end().hostAnswered() ? now : host.lastAnswer;
      if (host.lastAnswer == now && host.health == Health.STUCK) {
        well(host, now);
      }
      // A cap below one is a slot that rests between shots; in good time, idle time was rest.
      double worked = Math.min(answer.took(), LONG_AGO * usual(shot.held));
      long from = Math.max(host.pausedUntil, now - (host.lateness > GOAL ? 0 : SAVED));
      host.pausedUntil = from + (long) (worked * Math.max(0, 1 / host.cap - 1));
    }
  }

  private static final int CONTROLS =
      4; // one shot in so many stays to be surely lost: its answer tells
  private static final long SAVED = 3000 * MS; // idle time: sessions come in bursts
  private static final long REST = RECHECK / 2; // of a host that refuses or errs: an unlisted drain
  private static final double SMOOTH = 0.02; // weight of a new answer in the usual time: fifty back

  /**
   * The cap creeps up while answers are quick and slots short, down while they are slow or do not
   * come.
   */
  private void adapt(HostState host, double lateness, long now) {
    double weight = Math.max(LATENESS_SMOOTH, Math.min(1, (now - host.lastAnswer) / LATENESS_SPAN));
    double step = Math.min(1 / host.cap, host.cap * STEP);
    host.lateness += (lateness - host.lateness) * weight;
    if (host.lateness > GOAL) {
      host.cap = Math.max(slotFloor, host.cap - step);
    } else if (lateness <= GOAL && host.out.size() + 1 >= host.cap) {
      host.cap += step;
    }
  }

  private static final double STEP =
      0.25; // of a cap below two, up or down: routers may share a slot
  private static final double LATENESS_SPAN = 2000 * MS; // answers this far apart count in full

  private static final double LATENESS_SMOOTH =
      0.1; // weight of one answer in a host's lateness: ten back
  private static final double GOAL =
      0.35; // of the time of use may pass in the host, the rest parked

  // ---- the health of hosts

  /** A host that was down for more than a moment comes back cold, whatever the list says yet. */
  private void well(HostState host, long now) {
    outlet.log(host.id + " is well again");
    if (host.health == Health.DOWN && now - host.troubledAt > 2 * TRIAL_GAP) {
      host.startAnew(now);
    }
    host.health = Health.WELL;
  }

  /** A host that is down or stuck loses its role and gets nothing but trials. */
  private void trouble(HostState host, Health health, long now) {
    if (host.group == null || host.health == Health.DOWN || host.health == health) {
      return;
    }
    outlet.log(host.id + " is " + health);
    host.health = health;
    host.troubledAt = now;
    host.nextTrial = now + (health == Health.DOWN ? RECHECK : TRIAL_GAP); // a probe may be lost too
    probe(host);
    host.group.unseat(host);
    callOff(host, now);
  }

  private static final long TRIAL_GAP =
      5 * RECHECK; // short, to have hosts back soon: the budget limits

  /**
   * Calls off what waits long for a stuck host, and what answers to later shots there have
   * overtaken. After three times what is out there its answer is lost: it holds no slot and does
   * not count as a slow one; while that happens few are enough. Merely slow hosts overtake little;
   * harm: long work among short.
   */
  private void callOff(HostState host, long now) {
    int sure = SURELY_LOST * host.out.size();
    int enough = losses > LOSSY ? OVERTAKEN : sure;
    for (Shot shot : host.out) {
      boolean late = now - shot.sentAt > LONG_AGO * usual(shot.held);
      if (late && !shot.lost && shot.overtaken >= (shot.control ? sure : enough)) {
        losses += shot.overtaken >= sure ? (1 - losses) * LOSS_SMOOTH : 0;
        host.lose(shot);
      }
      boolean inTime = now + usual(shot.held) < shot.held.usefulTill;
      boolean hopeless = shot.lost && inTime || late && host.health == Health.STUCK;
      if (hopeless && !shot.held.over && shot.held.product.effect() != Effect.IRREVERSIBLE) {
        withdraw(shot.held);
      }
    }
  }

  private static final int SURELY_LOST =
      3; // times what is out: three of its mean times went by meanwhile
  private static final int OVERTAKEN = 3; // enough while answers are lost: one or two are chance
  private static final double LOSS_SMOOTH = 0.05; // weight of a sure loss in the share of losses
  private static final double LOSSY = 0.2; // that share from which few are enough: far above chance

  /**
   * Probes and trials together stay a share of this router's accesses: hundreds of routers that
   * each probe all hosts cost more than they learn, and are turned away by the dozen. Whether it
   * was sent.
   */
  private boolean probe(HostState host) {
    if (!settings.mayProbe() || host.probing || curiosity < 1) {
      return false;
    }
    curiosity--;
    host.probing = true;
    outlet.probe(host.id);
    return true;
  }

  private static final double CURIOSITY =
      0.1; // probes and trials an access: a small share of any price
  private static final int MOST_CURIOSITY =
      10; // saved up: about a group and its hosts' first trials

  @Override
  public void probed(long now, HostId id, boolean answered, LoadReport report) {
    HostState host = hosts.get(id);
    host.probing = false;
    if (answered && host.health == Health.DOWN) {
      well(host, now);
    }
    // No answer proves nothing: hosts turn probes away when many routers ask.
    learnReport(host, report, now);
    serve(host, now);
  }

  private void watch(HostState host, long now) {
    host.doneRate += (host.doneNow / RECHECK - host.doneRate) * DONE_SMOOTH;
    host.doneNow = 0;
    callOff(host, now);
    if (host.health == Health.WELL && missedAnswers(host, now) > SURELY_STUCK) {
      trouble(host, Health.STUCK, now);
    } else if (isDue(host, now) && probe(host)) {
      host.nextTrial = now + TRIAL_GAP;
    }
    if (host.group.primary == null && !host.group.first.isEmpty() && host.health != Health.DOWN) {
      probe(host);
    }
  }

  /** Down, and long enough since it was last asked whether it is up again. */
  private static boolean isDue(HostState host, long now) {
    return host.health == Health.DOWN && now >= host.nextTrial;
  }

  private static final double DONE_SMOOTH =
      0.05; // weight of one tick in the work done: two seconds back

  /**
   * How many answers a host should have given since its last one, by the usual times of what it
   * holds: a guard against hosts that take shots and answer none, whatever the cause. A host that
   * answers anything is not stuck, and when all grow slower together the usual times grow too.
   */
  private double missedAnswers(HostState host, long now) {
    return host.out.stream()
        .filter(shot -> !shot.lost)
        .mapToDouble(shot -> (now - Math.max(host.lastAnswer, shot.sentAt)) / usual(shot.held))
        .sum();
  }

  private static final double SURELY_STUCK =
      12; // missed: a chance of one in 100,000 at exponential times
  private static final double LONG_AGO =
      3; // usual times one shot must wait: a short pause is no verdict

  // ---- the parked

  /** Hands a host's free slots to the parked that it may serve, first shots before further ones. */
  private void serve(HostState host, long now) {
    if (host.group == null) {
      return;
    }
    for (List<Held> line : List.of(host.group.first, host.group.further)) {
      for (Held held = next(line, host, now); held != null; held = next(line, host, now)) {
        held.chosen = host;
        sending.in(held, now);
      }
    }
  }

  private Held next(List<Held> line, HostState host, long now) {
    Held best = null;
    long bestRank = Long.MAX_VALUE;
    if (line.isEmpty() || host.taken() >= cap(host, now) && !onTrial(host, now)) {
      return null;
    }
    for (Held held : line) {
      long rank = rank(held, now);
      if (rank < bestRank && mayServe(held, host, now)) {
        best = held;
        bestRank = rank;
      }
    }
    return best;
  }

  private boolean mayServe(Held held, HostState host, long now) {
    // Others wait unseen where routers share slots: no late ones at slow hosts. Harm: late
    // earnings.
    if (slotFloor < 1 && host.lateness > GOAL && rank(held, now) > LATE / 2) {
      return false;
    }
    if (held.is(Need.WRITE)) {
      return host.group.primary == host && usable(host, now) && free(held, host, now);
    }
    freshness.in(held, now);
    int fit = fit(held, host, now);
    boolean waitedLong = now - held.arrivedAt > held.product.quotedTime() * PATIENCE;
    return fit <= (waitedLong ? LAST : worstFit(held, now)) && free(held, host, now);
  }

  // An exception to parking for busy replicas: a read that has waited this share of its quoted time
  // takes
  // any replica, or a slot of the primary that reads may have. Guards against waste of the primary
  // when
  // replicas are few or slow; harm: a primary with more writes than it shows.
  private static final double PATIENCE = 0.25;

  /**
   * The order of the parked: those that can still be answered in time, the most pressing first;
   * then the late, the newest first, so that slots do not go to those about to run out when they
   * are short. One that stayed away on our word comes before those that came meanwhile.
   */
  private long rank(Held held, long now) {
    long rank =
        now + usual(held) * IN_TIME > held.usefulTill ? LATE - held.usefulTill : held.usefulTill;
    return rank - held.access.waited();
  }

  private static final double IN_TIME =
      3; // usual times left of one still in time: 19 in 20 answers come
  private static final long LATE = Long.MAX_VALUE - 1; // puts the late behind all in time

  // ---- time

  @Override
  public void woken(long now) {
    for (Held held = dues.next(now); held != null; held = dues.next(now)) {
      if (now >= endsAt(held)) {
        finish(held, now);
      } else {
        dues.add(endsAt(held), held);
      }
    }
    if (now >= nextTick) {
      nextTick = now + RECHECK;
      groups.values().forEach(group -> tick(group, now));
      hosts.values().removeIf(host -> host.group == null && host.out.isEmpty() && !host.probing);
    }
    if (now >= askAgain) {
      askAgain = Long.MAX_VALUE;
      outlet.subscribe();
    }
    dues.again(Math.min(nextTick, askAgain));
  }

  /** The periodic work: the health of the hosts, probes, and the parked. */
  private void tick(GroupState group, long now) {
    group.members.forEach(host -> watch(host, now));
    for (Held held : Stream.concat(group.first.stream(), group.further.stream()).toList()) {
      if (!held.is(Need.WRITE)) {
        held.missed.clear();
      } else if (group.primary == null) {
        run(held, now);
      }
    }
    group.members.forEach(host -> serve(host, now));
  }
}
