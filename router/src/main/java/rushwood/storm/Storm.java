package rushwood.storm;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.LoadReport;
import rushwood.api.OverloadSignals;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestClass.Consistency;
import rushwood.api.RequestClass.Idempotency;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;
import rushwood.api.RoutingSettings;

/**
 * Stands before the decisions of a router: it hears what they hear, sees storms in it, and gives
 * them the figures and budgets that {@link Crowd} names. It sends nothing by itself but the end of
 * a write that its client repeats while the last try may still run, where the operator wants that.
 */
public final class Storm implements RoutingPolicy, OverloadSignals {
  /** Counts since the start. */
  public static final class Counts {
    public long repeats;
    public long returned;
    public long booked;
    public long unbooked;
    public long budgetEmpty;
    public long doubtful;
    public long changes;
  }

  private static final int CELLS =
      1 << 14; // of a sketch's row, 128 KiB in all: 5,000 unanswered a span, and 0.7% too many
  private static final int BUCKETS =
      1 << 10; // 4,096 returns or doubts at once: half a second of 8,000 a second
  private static final double FADES =
      0.95; // a tick: half in 1.4 s, by when most that come back have come
  private static final long LATE =
      500_000_000L; // a client that returns this much after its time has lost its place

  private final RoutingSettings settings;
  private final StormSettings set;
  private final PolicyActions outlet;
  private final RoutingPolicy inner;
  private final Repeats repeats;
  private final Marks returns;
  private final Marks doubts;
  private final Calendar calendar;
  private final OverloadSignals plain;
  private final Dials dials;
  private final Weather router = new Weather();
  private final Map<GroupId, Group> groups =
      new TreeMap<>((a, b) -> Integer.compare(a.value(), b.value()));
  private final Map<HostId, Weather> hosts = new LinkedHashMap<>();
  private final Map<HostId, GroupId> groupOf = new LinkedHashMap<>();
  private final Map<RequestId, Open> opens = new LinkedHashMap<>();
  private final Counts counts = new Counts();
  private long nextTick = Long.MIN_VALUE;
  private long waiting;
  private long lately;
  private long doubters;

  /** An access that is open here, or whose client has its answer while shots are out. */
  private static final class Open {
    final Request access;
    int out;
    boolean mayHaveRun;
    boolean over;
    long doubt; // the number under which it is in doubt, 0 for none

    Open(Request access) {
      this.access = access;
    }

    boolean isDoubtful() {
      return access.requestClass().consistency() == Consistency.WRITE
          && access.requestClass().idempotency() != Idempotency.IDEMPOTENT;
    }
  }

  private final class Group {
    final Weather weather = new Weather();
    final Budget budget = new Budget(set.repeats(), set.repeatsFloor());
    // Tries without an answer that nobody has come back for yet, fading: there are no more repeats
    // than those. Guards
    // against hot keys, which many clients ask for: with few keys 90% of a calm day passed for
    // repeats.
    double unanswered;
  }

  /** With what makes the decisions from these figures and an outlet. */
  public Storm(
      RoutingSettings settings,
      StormSettings set,
      Dials dials,
      PolicyActions outlet,
      BiFunction<OverloadSignals, PolicyActions, RoutingPolicy> maker) {
    this.settings = settings;
    this.set = set;
    this.dials = dials;
    this.outlet = outlet;
    plain = OverloadSignals.withoutOverloadControl(settings);
    returns = new Marks(set.calendar() ? BUCKETS : 1);
    doubts = new Marks(set.doubts() ? BUCKETS : 1);
    long longest =
        settings.requestClasses().stream()
                .mapToLong(each -> 2 * each.latencyObjectiveNanos())
                .max()
                .orElse(1)
            + settings.maxRetryAfterNanos();
    repeats = new Repeats(CELLS, longest);
    calendar = new Calendar(Math.max(Calendar.SLOT, settings.maxRetryAfterNanos()));
    inner = maker.apply(this, new Out());
  }

  public Weather.State state() {
    return router.state();
  }

  public Weather.State state(GroupId group) {
    Group known = groups.get(group);
    return known == null ? Weather.State.CALM : known.weather.state();
  }

  public Counts counts() {
    return counts;
  }

  /** Accesses that are kept. */
  int open() {
    return opens.size();
  }

  /** Bytes held by what is of fixed size. */
  public long bytes() {
    return repeats.bytes() + returns.bytes() + doubts.bytes() + calendar.bytes();
  }

  // ---- what the decisions hear

  @Override
  public void endpointsReplaced(long now, List<Endpoint> list, boolean remembered) {
    List<HostId> named = list.stream().map(Endpoint::id).toList();
    if (settings.isRemovalBinding()) {
      List.copyOf(groupOf.keySet()).stream()
          .filter(each -> !named.contains(each))
          .forEach(this::forget);
    }
    list.forEach(this::place);
    inner.endpointsReplaced(now, list, remembered);
  }

  @Override
  public void endpointsUpdated(long now, List<Endpoint> changes) {
    for (Endpoint each : changes) {
      if (each.state() == Endpoint.State.REMOVED && settings.isRemovalBinding()) {
        forget(each.id());
      } else {
        place(each);
      }
    }
    inner.endpointsUpdated(now, changes);
  }

  private void place(Endpoint host) {
    groupOf.put(host.id(), host.group());
    groups.computeIfAbsent(host.group(), each -> new Group());
    hosts.computeIfAbsent(host.id(), each -> new Weather());
  }

  private void forget(HostId host) {
    GroupId group = groupOf.remove(host);
    hosts.remove(host);
    dials.forget(host);
    if (group != null && !groupOf.containsValue(group)) {
      groups.remove(group);
    }
  }

  @Override
  public void endpointRefreshFailed(long now) {
    inner.endpointRefreshFailed(now);
  }

  @Override
  public void requestReceived(long now, Request access) {
    tick(now);
    Group group = groups.get(access.group());
    boolean seen = access.fingerprint() != 0 && repeats.count(access.fingerprint(), now) > 0;
    long waited = seen ? returns.get(access.fingerprint(), now) : -1;
    boolean repeated = seen && group != null && group.unanswered >= 1;
    if (waited >= 0) {
      returns.remove(access.fingerprint());
      counts.returned++;
    }
    if (repeated) {
      counts.repeats++;
      group.unanswered--;
    }
    came(router, repeated);
    came(group == null ? null : group.weather, repeated);
    Open open = new Open(access);
    if (set.doubts() && open.isDoubtful() && doubts.get(access.fingerprint(), now) >= 0) {
      counts.doubtful++;
      outlet.fail(
          access.id()); // its last try may still run, or has: nobody can promise that once is all
      return;
    }
    opens.put(access.id(), open);
    waiting++;
    inner.requestReceived(now, waited > 0 ? access.afterWaiting(waited) : access);
  }

  private static void came(Weather weather, boolean repeated) {
    if (weather != null) {
      weather.tally().arrivals++;
      weather.tally().repeats += repeated ? 1 : 0;
    }
  }

  @Override
  public void attemptFinished(long now, AttemptResult answer) {
    tick(now);
    GroupId id = groupOf.get(answer.host());
    Group group = id == null ? null : groups.get(id);
    boolean done = answer.outcome() == AttemptOutcome.SUCCESS;
    boolean expired = answer.outcome() == AttemptOutcome.TIMED_OUT;
    boolean byHost =
        expired
            || answer.outcome() == AttemptOutcome.CONNECT_FAILED
            || answer.outcome() == AttemptOutcome.OVERLOADED;
    note(router, done, expired);
    note(group == null ? null : group.weather, done, expired);
    note(hosts.get(answer.host()), done, byHost);
    Open open = opens.get(answer.request());
    if (open != null) {
      open.out--;
      open.mayHaveRun |= !answer.outcome().provesNotExecuted();
      if (answer.requestFinished() && !open.over) {
        open.over = true; // it was fulfilled: nobody comes back for it
        waiting--;
        open.mayHaveRun = false;
      }
      settle(now, open);
    }
    inner.attemptFinished(now, answer);
  }

  /**
   * With no shot out an access that is over is forgotten. Its doubt ends with proof that it never
   * ran; where another access of the same mark is in doubt too, only time ends both.
   */
  private void settle(long now, Open open) {
    if (open.over && open.out <= 0) {
      opens.remove(open.access.id());
      if (open.doubt > 0
          && !open.mayHaveRun
          && doubts.get(open.access.fingerprint(), now) == open.doubt) {
        doubts.remove(open.access.fingerprint());
      }
    }
  }

  private static void note(Weather weather, boolean done, boolean refused) {
    if (weather != null) {
      weather.tally().done += done ? 1 : 0;
      weather.tally().refused += refused ? 1 : 0;
    }
  }

  @Override
  public void clientDisconnected(long now, RequestId access) {
    tick(now);
    unanswered(now, access);
    inner.clientDisconnected(now, access);
  }

  @Override
  public void shuttingDown(long now, long at) {
    inner.shuttingDown(now, at);
  }

  /**
   * Its client has no answer that ends it, and may come back: with a write that may have run, in
   * doubt.
   */
  private void unanswered(long now, RequestId access) {
    Open open = opens.get(access);
    if (open == null || open.over) {
      return;
    }
    open.over = true;
    waiting--;
    if (open.access.fingerprint() != 0) {
      repeats.add(open.access.fingerprint(), now);
      Group group = groups.get(open.access.group());
      if (group != null) {
        group.unanswered++;
      }
      if (set.doubts() && open.isDoubtful() && (open.out > 0 || open.mayHaveRun)) {
        long till =
            Math.max(
                open.access.deadline(), now + open.access.requestClass().idempotencyWindowNanos());
        boolean another = doubts.get(open.access.fingerprint(), now) >= 0;
        open.doubt = ++doubters;
        doubts.put(open.access.fingerprint(), till, another ? 0 : open.doubt, now);
      }
    }
    settle(now, open);
  }

  @Override
  public void probeFinished(long now, HostId host, boolean answered, LoadReport report) {
    inner.probeFinished(now, host, answered, report);
  }

  @Override
  public void timerFired(long now) {
    tick(now);
    inner.timerFired(now);
  }

  // ---- the weather

  private void tick(long now) {
    lately = now;
    if (now < nextTick) {
      return;
    }
    nextTick = now + Weather.TICK;
    forgetOverdue(now);
    tell("router", router);
    groups.forEach(
        (id, group) -> {
          group.unanswered *= FADES;
          tell("group " + id, group.weather);
        });
    hosts.forEach((id, weather) -> tell("host " + id, weather));
    calendar.expect(Math.max(router.doneRate(), router.mostRate() / 2));
  }

  /**
   * The network ends an access by itself where the decisions failed over it, and nobody hears of
   * that: what is here long after its time is over. Harm: none, since no shot is waited for after
   * its access is due.
   */
  private void forgetOverdue(long now) {
    Iterator<Open> each = opens.values().iterator();
    while (each.hasNext()) {
      Open open = each.next();
      if (open.access.deadline() > now - OVERDUE) {
        return; // the later ones came later: one that waits long only keeps them a while
      }
      waiting -= open.over ? 0 : 1;
      each.remove();
    }
  }

  private static final long OVERDUE = 1_000_000_000L; // far above any turn of the loop

  private void tell(String scope, Weather weather) {
    if (weather.tick()) {
      counts.changes++;
      outlet.log("storm at " + scope + " is " + weather);
    }
  }

  // ---- what the decisions ask

  @Override
  public long retryAfterNanos(long now, Request access, boolean crowded) {
    Group group = groups.get(access.group());
    router.tally().refused++;
    if (group != null) {
      group.weather.tally().refused++;
    }
    if (!set.calendar()) {
      return plain.retryAfterNanos(now, access, crowded);
    }
    if (!settings.canSendRetryAfter() || !crowded && state(access.group()) == Weather.State.CALM) {
      return 0;
    }
    boolean high = access.requestClass().consistency() == Consistency.WRITE;
    Calendar.Place place =
        calendar.book(now, access.group().value(), high, waiting, settings.maxRetryAfterNanos());
    counts.booked += place.booked() ? 1 : 0;
    counts.unbooked += place.booked() ? 0 : 1;
    if (access.fingerprint() != 0) {
      returns.put(access.fingerprint(), now + place.away() + LATE, place.away(), now);
    }
    return place.away();
  }

  /** For one who finds no room at the door: there is no access yet, so the place is for anyone. */
  public long adviseAtDoor(long now) {
    if (!settings.canSendRetryAfter()) {
      return 0;
    }
    return set.calendar()
        ? calendar.book(now, -1, false, waiting, settings.maxRetryAfterNanos()).away()
        : settings.maxRetryAfterNanos();
  }

  @Override
  public boolean canRetry(long now, GroupId id) {
    Weather.State state = state(id);
    boolean storm = state == Weather.State.STORM || state == Weather.State.EASING;
    boolean may = !storm || groups.get(id).budget.allows(now);
    counts.budgetEmpty += may ? 0 : 1;
    return may;
  }

  @Override
  public void attemptSent(long now, GroupId id, boolean further) {
    Group group = groups.get(id);
    if (group != null && further) {
      group.budget.further(now);
    } else if (group != null) {
      group.budget.first(now);
    }
  }

  @Override
  public boolean canConnect(long now, HostId host) {
    return dials.may(host, now);
  }

  /** What the decisions decide passes through; shots are kept in mind. */
  private final class Out implements PolicyActions {
    @Override
    public void send(RequestId access, HostId host, long timeOut, long beginWithin) {
      Open open = opens.get(access);
      if (open != null) {
        open.out++;
      }
      outlet.send(access, host, timeOut, beginWithin);
    }

    @Override
    public void cancel(RequestId access, int shot) {
      outlet.cancel(access, shot);
    }

    @Override
    public void reject(RequestId access, long advice) {
      unanswered(lately, access);
      outlet.reject(access, advice);
    }

    @Override
    public void fail(RequestId access) {
      unanswered(lately, access);
      outlet.fail(access);
    }

    @Override
    public void probe(HostId host) {
      outlet.probe(host);
    }

    @Override
    public void wakeAt(long at) {
      outlet.wakeAt(at);
    }

    @Override
    public void subscribeToEndpoints() {
      outlet.subscribeToEndpoints();
    }

    @Override
    public void log(String line) {
      outlet.log(line);
    }
  }
}
