package rushwood.storm;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
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
import rushwood.api.Settings;
import rushwood.api.ShotEnd;

/**
 * Stands before the decisions of a router: it hears what they hear, sees storms in it, and gives
 * them the figures and budgets that {@link Crowd} names. It sends nothing by itself but the end of
 * a write that its client repeats while the last try may still run, where the operator wants that.
 */
public final class Storm implements Decisions, Crowd {
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

  private final Settings settings;
  private final StormSettings set;
  private final Outlet outlet;
  private final Decisions inner;
  private final Repeats repeats;
  private final Marks returns;
  private final Marks doubts;
  private final Calendar calendar;
  private final Crowd plain;
  private final Dials dials;
  private final Weather router = new Weather();
  private final Map<GroupId, Group> groups =
      new TreeMap<>((a, b) -> Integer.compare(a.value(), b.value()));
  private final Map<HostId, Weather> hosts = new LinkedHashMap<>();
  private final Map<HostId, GroupId> groupOf = new LinkedHashMap<>();
  private final Map<AccessId, Open> opens = new LinkedHashMap<>();
  private final Counts counts = new Counts();
  private long nextTick = Long.MIN_VALUE;
  private long waiting;
  private long lately;
  private long doubters;

  /** An access that is open here, or whose client has its answer while shots are out. */
  private static final class Open {
    final Access access;
    int out;
    boolean mayHaveRun;
    boolean over;
    long doubt; // the number under which it is in doubt, 0 for none

    Open(Access access) {
      this.access = access;
    }

    boolean isDoubtful() {
      return access.product().need() == Need.WRITE && access.product().effect() != Effect.REDOABLE;
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
      Settings settings,
      StormSettings set,
      Dials dials,
      Outlet outlet,
      BiFunction<Crowd, Outlet, Decisions> maker) {
    this.settings = settings;
    this.set = set;
    this.dials = dials;
    this.outlet = outlet;
    plain = Crowd.plain(settings);
    returns = new Marks(set.calendar() ? BUCKETS : 1);
    doubts = new Marks(set.doubts() ? BUCKETS : 1);
    long longest =
        settings.products().stream().mapToLong(each -> 2 * each.quotedTime()).max().orElse(1)
            + settings.longestAdvice();
    repeats = new Repeats(CELLS, longest);
    calendar = new Calendar(Math.max(Calendar.SLOT, settings.longestAdvice()));
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
  public void listed(long now, List<ListedHost> list, boolean remembered) {
    List<HostId> named = list.stream().map(ListedHost::id).toList();
    if (settings.goneBinds()) {
      List.copyOf(groupOf.keySet()).stream()
          .filter(each -> !named.contains(each))
          .forEach(this::forget);
    }
    list.forEach(this::place);
    inner.listed(now, list, remembered);
  }

  @Override
  public void listChanged(long now, List<ListedHost> changes) {
    for (ListedHost each : changes) {
      if (each.state() == ListedHost.State.GONE && settings.goneBinds()) {
        forget(each.id());
      } else {
        place(each);
      }
    }
    inner.listChanged(now, changes);
  }

  private void place(ListedHost host) {
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
  public void listFailed(long now) {
    inner.listFailed(now);
  }

  @Override
  public void arrived(long now, Access access) {
    tick(now);
    Group group = groups.get(access.group());
    boolean seen = access.mark() != 0 && repeats.count(access.mark(), now) > 0;
    long waited = seen ? returns.get(access.mark(), now) : -1;
    boolean repeated = seen && group != null && group.unanswered >= 1;
    if (waited >= 0) {
      returns.remove(access.mark());
      counts.returned++;
    }
    if (repeated) {
      counts.repeats++;
      group.unanswered--;
    }
    came(router, repeated);
    came(group == null ? null : group.weather, repeated);
    Open open = new Open(access);
    if (set.doubts() && open.isDoubtful() && doubts.get(access.mark(), now) >= 0) {
      counts.doubtful++;
      outlet.giveUp(
          access.id()); // its last try may still run, or has: nobody can promise that once is all
      return;
    }
    opens.put(access.id(), open);
    waiting++;
    inner.arrived(now, waited > 0 ? access.afterWaiting(waited) : access);
  }

  private static void came(Weather weather, boolean repeated) {
    if (weather != null) {
      weather.tally().arrivals++;
      weather.tally().repeats += repeated ? 1 : 0;
    }
  }

  @Override
  public void answered(long now, Answer answer) {
    tick(now);
    GroupId id = groupOf.get(answer.host());
    Group group = id == null ? null : groups.get(id);
    boolean done = answer.end() == ShotEnd.FULFILLED;
    boolean expired = answer.end() == ShotEnd.EXPIRED;
    boolean byHost =
        expired || answer.end() == ShotEnd.UNREACHED || answer.end() == ShotEnd.OVERFULL;
    note(router, done, expired);
    note(group == null ? null : group.weather, done, expired);
    note(hosts.get(answer.host()), done, byHost);
    Open open = opens.get(answer.access());
    if (open != null) {
      open.out--;
      open.mayHaveRun |= !answer.end().neverRan();
      if (answer.over() && !open.over) {
        open.over = true; // it was fulfilled: nobody comes back for it
        waiting--;
        open.mayHaveRun = false;
      }
      settle(now, open);
    }
    inner.answered(now, answer);
  }

  /**
   * With no shot out an access that is over is forgotten. Its doubt ends with proof that it never
   * ran; where another access of the same mark is in doubt too, only time ends both.
   */
  private void settle(long now, Open open) {
    if (open.over && open.out <= 0) {
      opens.remove(open.access.id());
      if (open.doubt > 0 && !open.mayHaveRun && doubts.get(open.access.mark(), now) == open.doubt) {
        doubts.remove(open.access.mark());
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
  public void left(long now, AccessId access) {
    tick(now);
    unanswered(now, access);
    inner.left(now, access);
  }

  @Override
  public void closing(long now, long at) {
    inner.closing(now, at);
  }

  /**
   * Its client has no answer that ends it, and may come back: with a write that may have run, in
   * doubt.
   */
  private void unanswered(long now, AccessId access) {
    Open open = opens.get(access);
    if (open == null || open.over) {
      return;
    }
    open.over = true;
    waiting--;
    if (open.access.mark() != 0) {
      repeats.add(open.access.mark(), now);
      Group group = groups.get(open.access.group());
      if (group != null) {
        group.unanswered++;
      }
      if (set.doubts() && open.isDoubtful() && (open.out > 0 || open.mayHaveRun)) {
        long till = Math.max(open.access.due(), now + open.access.product().window());
        boolean another = doubts.get(open.access.mark(), now) >= 0;
        open.doubt = ++doubters;
        doubts.put(open.access.mark(), till, another ? 0 : open.doubt, now);
      }
    }
    settle(now, open);
  }

  @Override
  public void probed(long now, HostId host, boolean answered, LoadReport report) {
    inner.probed(now, host, answered, report);
  }

  @Override
  public void woken(long now) {
    tick(now);
    inner.woken(now);
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
      if (open.access.due() > now - OVERDUE) {
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
  public long advise(long now, Access access, boolean crowded) {
    Group group = groups.get(access.group());
    router.tally().refused++;
    if (group != null) {
      group.weather.tally().refused++;
    }
    if (!set.calendar()) {
      return plain.advise(now, access, crowded);
    }
    if (!settings.mayAdvise() || !crowded && state(access.group()) == Weather.State.CALM) {
      return 0;
    }
    boolean high = access.product().need() == Need.WRITE;
    Calendar.Place place =
        calendar.book(now, access.group().value(), high, waiting, settings.longestAdvice());
    counts.booked += place.booked() ? 1 : 0;
    counts.unbooked += place.booked() ? 0 : 1;
    if (access.mark() != 0) {
      returns.put(access.mark(), now + place.away() + LATE, place.away(), now);
    }
    return place.away();
  }

  /** For one who finds no room at the door: there is no access yet, so the place is for anyone. */
  public long adviseAtDoor(long now) {
    if (!settings.mayAdvise()) {
      return 0;
    }
    return set.calendar()
        ? calendar.book(now, -1, false, waiting, settings.longestAdvice()).away()
        : settings.longestAdvice();
  }

  @Override
  public boolean mayRepeat(long now, GroupId id) {
    Weather.State state = state(id);
    boolean storm = state == Weather.State.STORM || state == Weather.State.EASING;
    boolean may = !storm || groups.get(id).budget.allows(now);
    counts.budgetEmpty += may ? 0 : 1;
    return may;
  }

  @Override
  public void sent(long now, GroupId id, boolean further) {
    Group group = groups.get(id);
    if (group != null && further) {
      group.budget.further(now);
    } else if (group != null) {
      group.budget.first(now);
    }
  }

  @Override
  public boolean mayTry(long now, HostId host) {
    return dials.may(host, now);
  }

  /** What the decisions decide passes through; shots are kept in mind. */
  private final class Out implements Outlet {
    @Override
    public void send(AccessId access, HostId host, long timeOut, long beginWithin) {
      Open open = opens.get(access);
      if (open != null) {
        open.out++;
      }
      outlet.send(access, host, timeOut, beginWithin);
    }

    @Override
    public void withdraw(AccessId access, int shot) {
      outlet.withdraw(access, shot);
    }

    @Override
    public void turnBack(AccessId access, long advice) {
      unanswered(lately, access);
      outlet.turnBack(access, advice);
    }

    @Override
    public void giveUp(AccessId access) {
      unanswered(lately, access);
      outlet.giveUp(access);
    }

    @Override
    public void probe(HostId host) {
      outlet.probe(host);
    }

    @Override
    public void wake(long at) {
      outlet.wake(at);
    }

    @Override
    public void subscribe() {
      outlet.subscribe();
    }

    @Override
    public void log(String line) {
      outlet.log(line);
    }
  }
}
