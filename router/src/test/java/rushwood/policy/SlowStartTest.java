package rushwood.policy;

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
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestId;
import rushwood.api.RoutingSettings;
import rushwood.api.ZoneId;

/**
 * Many routers' decisions and one host that has just started, in virtual time: whatever each of
 * them sees, the sum that they send there stays within what the settings let it bear, N accesses of
 * mean work a window, and 2 x root of N + 2 of chance.
 */
class SlowStartTest {
  private static final long MS = 1_000_000L;
  private static final long START = 1_000_000_000 * MS;
  private static final long DURATION_MS =
      8_000; // ms: by then it bears several times as much as at first
  private static final int HOSTS = 4; // the last is the cold one
  private static final HostId COLD_HOST = new HostId("h3");

  /** What is drawn from a seed, and what happens. */
  private enum Trial {
    EVEN,
    UNEVEN,
    QUIET_THEN_BURST,
    OTHER_HOSTS_FAIL,
    ROUTERS_START,
    ALL_START
  }

  private record Event(long at, long order, Runnable task) {}

  private static final class RouterCluster {
    final SplittableRandom random;
    final Trial trial;
    final RoutingSettings settings;
    final RequestClass product =
        new RequestClass(
            "read",
            0,
            400 * MS,
            RequestClass.Idempotency.IDEMPOTENT,
            RequestClass.KeyScope.GLOBAL,
            0,
            false,
            RequestClass.Consistency.EVENTUAL,
            0,
            0);
    final PriorityQueue<Event> events =
        new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    final List<SimulatedRouter> routers = new ArrayList<>();
    final Map<HostId, Host> hosts = new TreeMap<>(Comparator.comparing(HostId::value));
    final List<Long> sentToCold = new ArrayList<>();
    final int slots;
    final long serviceTime;
    long now = START;
    long nextOrder;
    long answered;

    RouterCluster(long seed, int count, Trial day) {
      random = new SplittableRandom(seed);
      this.trial = day;
      slots = 2 + random.nextInt(4);
      serviceTime = (30 + random.nextInt(50)) * MS;
      double[] multiples = {2.5, 3, 4};
      long[] windows = {1000, 1500, 3000};
      settings =
          new RoutingSettings(
              count,
              List.of(product),
              false,
              RoutingSettings.LaggingReadBehavior.REJECTS,
              false,
              false,
              true,
              true,
              true,
              500 * MS,
              10,
              5 * MS,
              true,
              0.15 + 0.15 * random.nextInt(2),
              (9000 + random.nextInt(7000)) * MS,
              multiples[random.nextInt(3)],
              windows[random.nextInt(3)] * MS,
              10_000 * MS);
      for (int i = 0; i < HOSTS; i++) {
        hosts.put(new HostId("h" + i), new Host(i == HOSTS - 1 || day == Trial.ALL_START));
      }
      double total = 0;
      for (int i = 0; i < count; i++) {
        SimulatedRouter router =
            new SimulatedRouter(this, i, day == Trial.UNEVEN ? 1.0 / (i + 1) : 1);
        routers.add(router);
        total += router.trafficShare;
      }
      double rate =
          (0.4 + 0.3 * random.nextDouble())
              * HOSTS
              * slots
              * 1e9
              / serviceTime; // accesses a second
      for (SimulatedRouter each : routers) {
        each.interarrivalNanos = (long) (1e9 * total / (rate * each.trafficShare));
        each.start();
      }
    }

    /** What the settings say that the cold host has of its capacity at least. */
    double slowStartProgress(long at) {
      return Math.min(
          1,
          settings.coldStartShare()
              + (1 - settings.coldStartShare()) * (at - START) / settings.warmupNanos());
    }

    void schedule(long time, Runnable task) {
      events.add(new Event(Math.max(time, now), nextOrder++, task));
    }

    void run() {
      if (trial == Trial.OTHER_HOSTS_FAIL) {
        schedule(
            START + 2500 * MS,
            () -> hosts.forEach((id, host) -> host.dead = !id.equals(COLD_HOST)));
      }
      while (events.peek().at < START + DURATION_MS * MS) {
        Event next = events.poll();
        now = next.at;
        next.task.run();
      }
    }

    boolean isQuiet() {
      return trial == Trial.QUIET_THEN_BURST && now > START - 1000 * MS && now < START + 2500 * MS;
    }

    /**
     * The most by which any window went over what it may hold, in accesses; negative if none did.
     */
    double excessAttempts() {
      double worst = Double.NEGATIVE_INFINITY;
      Deque<Long> window = new ArrayDeque<>();
      for (long each : sentToCold) {
        window.add(each);
        while (window.peek() <= each - settings.collapseWindowNanos()) {
          window.poll();
        }
        double bears =
            settings.collapseMultiple()
                * slowStartProgress(window.peek())
                * settings.collapseWindowNanos()
                * slots
                / serviceTime;
        worst = Math.max(worst, window.size() - bears - 2 * Math.sqrt(bears) - 2);
      }
      return worst;
    }

    final class Host {
      final boolean cold;
      final PriorityQueue<Long> slotsFreeAt = new PriorityQueue<>();
      boolean dead;

      Host(boolean cold) {
        this.cold = cold;
        for (int i = 0; i < slots; i++) {
          slotsFreeAt.add(START);
        }
      }

      long serve() {
        double takes =
            -Math.log(1 - random.nextDouble()) * serviceTime / (cold ? slowStartProgress(now) : 1);
        long done = Math.max(now, slotsFreeAt.poll()) + (long) takes;
        slotsFreeAt.add(done);
        return done;
      }
    }
  }

  private static final class SimulatedRouter implements PolicyActions {
    final RouterCluster cluster;
    final int number;
    final double trafficShare;
    final Map<RequestId, Integer> attemptCounts = new HashMap<>();
    long interarrivalNanos;
    DefaultRoutingPolicy policy;
    long wakeAt;
    int requestCount;

    SimulatedRouter(RouterCluster tier, int number, double part) {
      this.cluster = tier;
      this.number = number;
      this.trafficShare = part;
    }

    /** It was there before the cold host started, or it starts with it. */
    void start() {
      boolean later = cluster.trial == Trial.ROUTERS_START || cluster.trial == Trial.ALL_START;
      cluster.schedule(START + (later ? 0 : -3000 * MS), this::startPolicy);
      if (later) {
        return;
      }
      cluster.schedule(
          START, () -> policy.endpointsUpdated(cluster.now, List.of(endpoint(COLD_HOST, true))));
    }

    private void startPolicy() {
      policy =
          new DefaultRoutingPolicy(
              cluster.settings, new SplittableRandom(number * 7919L + cluster.nextOrder), this);
      boolean all = cluster.now >= START;
      policy.endpointsReplaced(
          cluster.now,
          cluster.hosts.keySet().stream()
              .filter(id -> all || !id.equals(COLD_HOST))
              .map(id -> endpoint(id, cluster.hosts.get(id).cold))
              .toList(),
          true);
      scheduleNextRequest();
    }

    private static Endpoint endpoint(HostId id, boolean cold) {
      return new Endpoint(
          id,
          new GroupId(0),
          new ZoneId("z"),
          1,
          cold ? START : 0,
          id.value().equals("h0"),
          Endpoint.State.READY);
    }

    private void scheduleNextRequest() {
      cluster.schedule(
          cluster.now + (long) (-Math.log(1 - cluster.random.nextDouble()) * interarrivalNanos),
          () -> {
            if (!cluster.isQuiet()) {
              RequestId id = new RequestId(number + "-" + requestCount++);
              policy.requestReceived(
                  cluster.now,
                  new Request(
                      id, cluster.product, null, new GroupId(0), cluster.now + 1500 * MS, 0));
            }
            scheduleNextRequest();
          });
    }

    @Override
    public void send(RequestId access, HostId id, long timeOut, long beginWithin) {
      int shot = attemptCounts.merge(access, 1, Integer::sum) - 1;
      if (id.equals(COLD_HOST)) {
        cluster.sentToCold.add(cluster.now);
      }
      RouterCluster.Host host = cluster.hosts.get(id);
      long sent = cluster.now;
      long done = host.dead ? sent + MS : host.serve();
      boolean late = done > sent + timeOut;
      AttemptOutcome end =
          host.dead
              ? AttemptOutcome.CONNECT_FAILED
              : late ? AttemptOutcome.TIMED_OUT : AttemptOutcome.SUCCESS;
      cluster.schedule(
          late ? sent + timeOut : done,
          () -> {
            cluster.answered += end == AttemptOutcome.SUCCESS ? 1 : 0;
            policy.attemptFinished(
                cluster.now,
                new AttemptResult(
                    access,
                    shot,
                    id,
                    end,
                    cluster.now - sent,
                    end == AttemptOutcome.SUCCESS,
                    HostRole.of(id.value().equals("h0")),
                    -1,
                    LoadReport.NONE));
          });
    }

    @Override
    public void cancel(RequestId access, int shot) {
      // Its answer comes all the same: the host has had the work.
    }

    @Override
    public void reject(RequestId access, long advice) {}

    @Override
    public void fail(RequestId access) {}

    @Override
    public void probe(HostId host) {
      cluster.schedule(
          cluster.now + MS,
          () ->
              policy.probeFinished(
                  cluster.now, host, !cluster.hosts.get(host).dead, LoadReport.NONE));
    }

    @Override
    public void wakeAt(long at) {
      wakeAt = at;
      cluster.schedule(
          at,
          () -> {
            if (wakeAt == at) {
              policy.timerFired(cluster.now);
            }
          });
    }

    @Override
    public void subscribeToEndpoints() {}

    @Override
    public void log(String line) {}
  }

  @Test
  void attemptsOfAllRoutersAtAColdHostStayWithinItsCapacity() {
    List<String> over = new ArrayList<>();
    long toCold = 0;
    int plays = 0;
    for (int seed = 0; seed < 40; seed++) {
      for (Trial day : Trial.values()) {
        int count = new int[] {1, 5, 30, 120}[(seed + day.ordinal()) % 4];
        RouterCluster tier = new RouterCluster(seed, count, day);
        tier.run();
        plays++;
        toCold += tier.sentToCold.size();
        if (tier.excessAttempts() > 0) {
          over.add(
              String.format(
                  "%s with %d routers, seed %d: %.1f of %.1f",
                  day,
                  count,
                  seed,
                  tier.excessAttempts(),
                  tier.settings.collapseMultiple()
                      * tier.slowStartProgress(START)
                      * tier.settings.collapseWindowNanos()
                      * tier.slots
                      / tier.serviceTime));
        }
      }
    }
    assertEquals(240, plays);
    assertTrue(toCold > 20_000, "it is used: " + toCold);
    assertEquals(List.of(), over);
  }
}
