package rushwood.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import rushwood.api.Access;
import rushwood.api.AccessId;
import rushwood.api.Answer;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.ListedHost;
import rushwood.api.LoadReport;
import rushwood.api.Outlet;
import rushwood.api.Product;
import rushwood.api.Settings;
import rushwood.api.ShotEnd;
import rushwood.api.ZoneId;

/**
 * Many routers' decisions and one host that has just started, in virtual time: whatever each of
 * them sees, the sum that they send there stays within what the settings let it bear, N accesses of
 * mean work a window, and 2 x root of N + 2 of chance.
 */
class ColdHostTest {
  private static final long MS = 1_000_000L;
  private static final long START = 1_000_000_000 * MS;
  private static final long LASTS = 8_000; // ms: by then it bears several times as much as at first
  private static final int HOSTS = 4; // the last is the cold one
  private static final HostId COLD = new HostId("h3");

  /** What is drawn from a seed, and what happens. */
  private enum Day {
    EVEN,
    UNEVEN,
    QUIET_THEN_ALL,
    OTHERS_DIE,
    ROUTERS_START,
    ALL_START
  }

  private record Event(long at, long order, Runnable task) {}

  private static final class Tier {
    final SplittableRandom chance;
    final Day day;
    final Settings settings;
    final Product product =
        new Product(
            "read",
            0,
            400 * MS,
            Product.Effect.REDOABLE,
            Product.Scope.EVERYWHERE,
            0,
            Product.Need.ANY,
            0,
            0);
    final PriorityQueue<Event> events =
        new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    final List<Router> routers = new ArrayList<>();
    final Map<HostId, Host> hosts = new TreeMap<>(Comparator.comparing(HostId::value));
    final List<Long> sentToCold = new ArrayList<>();
    final int slots;
    final long work;
    long now = START;
    long order;
    long answered;

    Tier(long seed, int count, Day day) {
      chance = new SplittableRandom(seed);
      this.day = day;
      slots = 2 + chance.nextInt(4);
      work = (30 + chance.nextInt(50)) * MS;
      double[] multiples = {2.5, 3, 4};
      long[] windows = {1000, 1500, 3000};
      settings =
          new Settings(
              count,
              List.of(product),
              false,
              Settings.Behind.TURNS_AWAY,
              false,
              false,
              true,
              true,
              true,
              500 * MS,
              10,
              5 * MS,
              true,
              0.15 + 0.15 * chance.nextInt(2),
              (9000 + chance.nextInt(7000)) * MS,
              multiples[chance.nextInt(3)],
              windows[chance.nextInt(3)] * MS,
              10_000 * MS);
      for (int i = 0; i < HOSTS; i++) {
        hosts.put(new HostId("h" + i), new Host(i == HOSTS - 1 || day == Day.ALL_START));
      }
      double total = 0;
      for (int i = 0; i < count; i++) {
        Router router = new Router(this, i, day == Day.UNEVEN ? 1.0 / (i + 1) : 1);
        routers.add(router);
        total += router.part;
      }
      double rate =
          (0.4 + 0.3 * chance.nextDouble()) * HOSTS * slots * 1e9 / work; // accesses a second
      for (Router each : routers) {
        each.gap = (long) (1e9 * total / (rate * each.part));
        each.start();
      }
    }

    /** What the settings say that the cold host has of its capacity at least. */
    double warmth(long at) {
      return Math.min(
          1, settings.coldFrom() + (1 - settings.coldFrom()) * (at - START) / settings.coldFor());
    }

    void at(long time, Runnable task) {
      events.add(new Event(Math.max(time, now), order++, task));
    }

    void run() {
      if (day == Day.OTHERS_DIE) {
        at(START + 2500 * MS, () -> hosts.forEach((id, host) -> host.dead = !id.equals(COLD)));
      }
      while (events.peek().at < START + LASTS * MS) {
        Event next = events.poll();
        now = next.at;
        next.task.run();
      }
    }

    boolean quiet() {
      return day == Day.QUIET_THEN_ALL && now > START - 1000 * MS && now < START + 2500 * MS;
    }

    /**
     * The most by which any window went over what it may hold, in accesses; negative if none did.
     */
    double over() {
      double worst = Double.NEGATIVE_INFINITY;
      Deque<Long> window = new ArrayDeque<>();
      for (long each : sentToCold) {
        window.add(each);
        while (window.peek() <= each - settings.fallWindow()) {
          window.poll();
        }
        double bears =
            settings.fallMultiple() * warmth(window.peek()) * settings.fallWindow() * slots / work;
        worst = Math.max(worst, window.size() - bears - 2 * Math.sqrt(bears) - 2);
      }
      return worst;
    }

    final class Host {
      final boolean cold;
      final PriorityQueue<Long> free = new PriorityQueue<>();
      boolean dead;

      Host(boolean cold) {
        this.cold = cold;
        for (int i = 0; i < slots; i++) {
          free.add(START);
        }
      }

      long take() {
        double takes = -Math.log(1 - chance.nextDouble()) * work / (cold ? warmth(now) : 1);
        long done = Math.max(now, free.poll()) + (long) takes;
        free.add(done);
        return done;
      }
    }
  }

  private static final class Router implements Outlet {
    final Tier tier;
    final int number;
    final double part;
    final Map<AccessId, Integer> shots = new HashMap<>();
    long gap;
    Choice choice;
    long wakeAt;
    int asked;
    int life;

    Router(Tier tier, int number, double part) {
      this.tier = tier;
      this.number = number;
      this.part = part;
    }

    /** It was there before the cold host started, or it starts with it. */
    void start() {
      boolean later = tier.day == Day.ROUTERS_START || tier.day == Day.ALL_START;
      tier.at(START + (later ? 0 : -3000 * MS), this::begin);
      if (later) {
        return;
      }
      tier.at(START, () -> choice.listChanged(tier.now, List.of(listed(COLD, true))));
    }

    private void begin() {
      choice = new Choice(tier.settings, new SplittableRandom(number * 7919L + tier.order), this);
      boolean all = tier.now >= START;
      choice.listed(
          tier.now,
          tier.hosts.keySet().stream()
              .filter(id -> all || !id.equals(COLD))
              .map(id -> listed(id, tier.hosts.get(id).cold))
              .toList(),
          true);
      next();
    }

    private static ListedHost listed(HostId id, boolean cold) {
      return new ListedHost(
          id,
          new GroupId(0),
          new ZoneId("z"),
          1,
          cold ? START : 0,
          id.value().equals("h0"),
          ListedHost.State.IN_SERVICE);
    }

    private void next() {
      tier.at(
          tier.now + (long) (-Math.log(1 - tier.chance.nextDouble()) * gap),
          () -> {
            if (!tier.quiet()) {
              AccessId id = new AccessId(number + "-" + asked++);
              choice.arrived(
                  tier.now,
                  new Access(id, tier.product, null, new GroupId(0), tier.now + 1500 * MS, 0));
            }
            next();
          });
    }

    @Override
    public void send(AccessId access, HostId id, long timeOut, long beginWithin) {
      int shot = shots.merge(access, 1, Integer::sum) - 1;
      if (id.equals(COLD)) {
        tier.sentToCold.add(tier.now);
      }
      Tier.Host host = tier.hosts.get(id);
      long sent = tier.now;
      long done = host.dead ? sent + MS : host.take();
      boolean late = done > sent + timeOut;
      ShotEnd end = host.dead ? ShotEnd.UNREACHED : late ? ShotEnd.EXPIRED : ShotEnd.FULFILLED;
      tier.at(
          late ? sent + timeOut : done,
          () -> {
            tier.answered += end == ShotEnd.FULFILLED ? 1 : 0;
            choice.answered(
                tier.now,
                new Answer(
                    access,
                    shot,
                    id,
                    end,
                    tier.now - sent,
                    end == ShotEnd.FULFILLED,
                    id.value().equals("h0"),
                    -1,
                    LoadReport.NONE));
          });
    }

    @Override
    public void withdraw(AccessId access, int shot) {
      // Its answer comes all the same: the host has had the work.
    }

    @Override
    public void turnBack(AccessId access, long advice) {}

    @Override
    public void giveUp(AccessId access) {}

    @Override
    public void probe(HostId host) {
      tier.at(
          tier.now + MS,
          () -> choice.probed(tier.now, host, !tier.hosts.get(host).dead, LoadReport.NONE));
    }

    @Override
    public void wake(long at) {
      wakeAt = at;
      tier.at(
          at,
          () -> {
            if (wakeAt == at) {
              choice.woken(tier.now);
            }
          });
    }

    @Override
    public void subscribe() {}

    @Override
    public void log(String line) {}
  }

  @Test
  void theSumStaysWithinWhatItBears() {
    List<String> over = new ArrayList<>();
    long toCold = 0;
    int plays = 0;
    for (int seed = 0; seed < 40; seed++) {
      for (Day day : Day.values()) {
        int count = new int[] {1, 5, 30, 120}[(seed + day.ordinal()) % 4];
        Tier tier = new Tier(seed, count, day);
        tier.run();
        plays++;
        toCold += tier.sentToCold.size();
        if (tier.over() > 0) {
          over.add(
              String.format(
                  "%s with %d routers, seed %d: %.1f of %.1f",
                  day,
                  count,
                  seed,
                  tier.over(),
                  tier.settings.fallMultiple()
                      * tier.warmth(START)
                      * tier.settings.fallWindow()
                      * tier.slots
                      / tier.work));
        }
      }
    }
    assertEquals(240, plays);
    assertTrue(toCold > 20_000, "it is used: " + toCold);
    assertEquals(List.of(), over);
  }
}
