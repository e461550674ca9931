package rushwood.policy;

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
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.api.NoPolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestClassFixture;
import rushwood.api.RequestId;
import rushwood.api.RoutingSettings;
import rushwood.api.ZoneId;

/**
 * Simulates many routers and four hosts, one of which has just started, in virtual time. The
 * request rate, the service times, the slots and the cold start of the hosts are drawn from a seed.
 */
final class SlowStartSimulation {
  /** What happens while the host is cold. */
  enum Situation {
    EVEN_TRAFFIC,
    UNEVEN_TRAFFIC,
    QUIET_THEN_BURST,
    OTHER_HOSTS_FAIL,
    /** All routers start together with the cold host. */
    ROUTERS_START,
    /** All routers and all hosts start together; all hosts are cold. */
    ALL_START
  }

  private record Event(long time, long sequenceNumber, Runnable task) {}

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long START_TIME = 1_000_000_000 * NANOS_PER_MILLI;

  /** By the end, the cold host bears several times its initial load. */
  private static final long DURATION_NANOS = 8_000 * NANOS_PER_MILLI;

  /** How long the routers run before the cold host starts. */
  private static final long LEAD_TIME_NANOS = 3_000 * NANOS_PER_MILLI;

  /** The time from the start of the cold host until the burst begins or the other hosts fail. */
  private static final long CHANGE_DELAY_NANOS = 2_500 * NANOS_PER_MILLI;

  private static final long REQUEST_TIMEOUT_NANOS = 1_500 * NANOS_PER_MILLI;
  private static final int HOST_COUNT = 4;
  private static final HostId PRIMARY = new HostId("h0");
  private static final HostId COLD_HOST = new HostId("h3");
  private static final GroupId GROUP = new GroupId(0);
  private static final RequestClass READ =
      RequestClassFixture.eventualRead("read", 0, 400 * NANOS_PER_MILLI);

  private final SplittableRandom random;
  private final Situation situation;
  private final RoutingSettings settings;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::time).thenComparingLong(Event::sequenceNumber));
  private final Map<HostId, Host> hosts = new TreeMap<>(Comparator.comparing(HostId::value));
  private final List<Long> attemptsAtColdHost = new ArrayList<>();
  private final int slots;
  private final long meanServiceTimeNanos;
  private long now = START_TIME;
  private long nextSequenceNumber;

  SlowStartSimulation(long seed, int routerCount, Situation situation) {
    random = new SplittableRandom(seed);
    this.situation = situation;
    slots = 2 + random.nextInt(4);
    meanServiceTimeNanos = (30 + random.nextInt(50)) * NANOS_PER_MILLI;
    settings = drawSettings(routerCount);
    for (int i = 0; i < HOST_COUNT; i++) {
      HostId id = new HostId("h" + i);
      hosts.put(id, new Host(id.equals(COLD_HOST) || situation == Situation.ALL_START));
    }
    startRouters(routerCount);
  }

  private RoutingSettings drawSettings(int routerCount) {
    double[] multiples = {2.5, 3, 4};
    long[] windows = {1000, 1500, 3000};
    return RoutingSettings.builder()
        .routerCount(routerCount)
        .requestClasses(List.of(READ))
        .laggingReadBehavior(RoutingSettings.LaggingReadBehavior.REJECTS)
        .hasHealthChecks(true)
        .canCancel(true)
        .canSendRetryAfter(true)
        .maxRetryAfterNanos(500 * NANOS_PER_MILLI)
        .maxAttempts(10)
        .clockResolutionNanos(5 * NANOS_PER_MILLI)
        .isRemovalBinding(true)
        .coldStartShare(0.15 + 0.15 * random.nextInt(2))
        .warmupNanos((9000 + random.nextInt(7000)) * NANOS_PER_MILLI)
        .collapseMultiple(multiples[random.nextInt(3)])
        .collapseWindowNanos(windows[random.nextInt(3)] * NANOS_PER_MILLI)
        .refreshWithinNanos(10_000 * NANOS_PER_MILLI)
        .build();
  }

  private void startRouters(int routerCount) {
    List<Router> routers = new ArrayList<>();
    double totalShare = 0;
    for (int i = 0; i < routerCount; i++) {
      Router router = new Router(i, situation == Situation.UNEVEN_TRAFFIC ? 1.0 / (i + 1) : 1);
      routers.add(router);
      totalShare += router.trafficShare;
    }
    double requestsPerSecond =
        (0.4 + 0.3 * random.nextDouble()) * HOST_COUNT * slots * 1e9 / meanServiceTimeNanos;
    for (Router router : routers) {
      router.start((long) (1e9 * totalShare / (requestsPerSecond * router.trafficShare)));
    }
  }

  void run() {
    if (situation == Situation.OTHER_HOSTS_FAIL) {
      schedule(
          START_TIME + CHANGE_DELAY_NANOS,
          () -> hosts.forEach((id, host) -> host.isDown = !id.equals(COLD_HOST)));
    }
    while (events.peek().time < START_TIME + DURATION_NANOS) {
      Event next = events.poll();
      now = next.time;
      next.task.run();
    }
  }

  int attemptsAtColdHost() {
    return attemptsAtColdHost.size();
  }

  /**
   * Returns the most by which the attempts of any collapse window exceed what the cold host bears:
   * N attempts of mean work, plus 2 * sqrt(N) + 2 to allow for chance. Negative if no window
   * exceeds that.
   */
  double maxExcess() {
    double maxExcess = Double.NEGATIVE_INFINITY;
    Deque<Long> window = new ArrayDeque<>();
    for (long sentAt : attemptsAtColdHost) {
      window.add(sentAt);
      while (window.peek() <= sentAt - settings.collapseWindowNanos()) {
        window.poll();
      }
      double capacity = capacity(window.peek());
      maxExcess = Math.max(maxExcess, window.size() - capacity - 2 * Math.sqrt(capacity) - 2);
    }
    return maxExcess;
  }

  /** Returns the attempts that the cold host bears in a collapse window right after its start. */
  double initialCapacity() {
    return capacity(START_TIME);
  }

  private double capacity(long time) {
    return settings.collapseMultiple()
        * coldShare(time)
        * settings.collapseWindowNanos()
        * slots
        / meanServiceTimeNanos;
  }

  /** Returns the share of its full capacity that a cold host has at the given time. */
  private double coldShare(long time) {
    double initial = settings.coldStartShare();
    return Math.min(1, initial + (1 - initial) * (time - START_TIME) / settings.warmupNanos());
  }

  private boolean isQuiet() {
    return situation == Situation.QUIET_THEN_BURST
        && now > START_TIME - 1000 * NANOS_PER_MILLI
        && now < START_TIME + CHANGE_DELAY_NANOS;
  }

  private void schedule(long time, Runnable task) {
    events.add(new Event(Math.max(time, now), nextSequenceNumber++, task));
  }

  /** Draws a number from the exponential distribution with mean 1. */
  private double drawExponential() {
    return -Math.log(1 - random.nextDouble());
  }

  private final class Host {
    final boolean isCold;
    private final PriorityQueue<Long> slotsFreeAt = new PriorityQueue<>();
    boolean isDown;

    Host(boolean isCold) {
      this.isCold = isCold;
      for (int i = 0; i < slots; i++) {
        slotsFreeAt.add(START_TIME);
      }
    }

    /** Serves a request in the first slot that becomes free; returns the time of its completion. */
    long serve() {
      double duration = drawExponential() * meanServiceTimeNanos / (isCold ? coldShare(now) : 1);
      long doneAt = Math.max(now, slotsFreeAt.poll()) + (long) duration;
      slotsFreeAt.add(doneAt);
      return doneAt;
    }
  }

  /** A router and its clients. Hosts do not cancel attempts: they do the work of each one. */
  private final class Router extends NoPolicyActions {
    private final int number;
    private final double trafficShare;
    private final Map<RequestId, Integer> attemptCounts = new HashMap<>();
    private long meanRequestIntervalNanos;
    private DefaultRoutingPolicy policy;
    private long timerAt;
    private int requestCount;

    Router(int number, double trafficShare) {
      this.number = number;
      this.trafficShare = trafficShare;
    }

    /**
     * Starts the router together with the cold host, or earlier, in which case the cold host is
     * listed when it starts.
     */
    void start(long meanRequestIntervalNanos) {
      this.meanRequestIntervalNanos = meanRequestIntervalNanos;
      if (situation == Situation.ROUTERS_START || situation == Situation.ALL_START) {
        schedule(START_TIME, this::startPolicy);
        return;
      }
      schedule(START_TIME - LEAD_TIME_NANOS, this::startPolicy);
      List<Endpoint> change = List.of(endpoint(COLD_HOST, true));
      schedule(START_TIME, () -> policy.endpointsUpdated(now, change));
    }

    private void startPolicy() {
      SplittableRandom policyRandom = new SplittableRandom(number * 7919L + nextSequenceNumber);
      policy = new DefaultRoutingPolicy(settings, policyRandom, this);
      List<Endpoint> endpoints = new ArrayList<>();
      hosts.forEach(
          (id, host) -> {
            if (now >= START_TIME || !id.equals(COLD_HOST)) {
              endpoints.add(endpoint(id, host.isCold));
            }
          });
      policy.endpointsReplaced(now, endpoints, true);
      scheduleNextRequest();
    }

    private Endpoint endpoint(HostId id, boolean isCold) {
      return new Endpoint(
          id,
          GROUP,
          new ZoneId("z"),
          1,
          isCold ? START_TIME : 0,
          id.equals(PRIMARY),
          Endpoint.State.READY);
    }

    private void scheduleNextRequest() {
      schedule(
          now + (long) (drawExponential() * meanRequestIntervalNanos),
          () -> {
            if (!isQuiet()) {
              RequestId id = new RequestId(number + "-" + requestCount++);
              policy.requestReceived(
                  now, new Request(id, READ, null, GROUP, now + REQUEST_TIMEOUT_NANOS, 0));
            }
            scheduleNextRequest();
          });
    }

    @Override
    public void send(RequestId request, HostId id, long timeoutNanos, long startWithinNanos) {
      int attemptNumber = attemptCounts.merge(request, 1, Integer::sum) - 1;
      if (id.equals(COLD_HOST)) {
        attemptsAtColdHost.add(now);
      }
      Host host = hosts.get(id);
      long sentAt = now;
      long doneAt = host.isDown ? sentAt + NANOS_PER_MILLI : host.serve();
      boolean timesOut = doneAt > sentAt + timeoutNanos;
      AttemptOutcome servedOutcome = timesOut ? AttemptOutcome.TIMED_OUT : AttemptOutcome.SUCCESS;
      AttemptOutcome outcome = host.isDown ? AttemptOutcome.CONNECT_FAILED : servedOutcome;
      schedule(
          timesOut ? sentAt + timeoutNanos : doneAt,
          () ->
              policy.attemptFinished(
                  now,
                  new AttemptResult(
                      request,
                      attemptNumber,
                      id,
                      outcome,
                      now - sentAt,
                      outcome == AttemptOutcome.SUCCESS,
                      HostRole.of(id.equals(PRIMARY)),
                      AttemptResult.NO_POSITION,
                      LoadReport.NONE)));
    }

    @Override
    public void checkHealth(HostId host) {
      schedule(
          now + NANOS_PER_MILLI,
          () -> policy.healthCheckFinished(now, host, !hosts.get(host).isDown, LoadReport.NONE));
    }

    @Override
    public void wakeAt(long time) {
      timerAt = time;
      schedule(
          time,
          () -> {
            if (timerAt == time) {
              policy.timerFired(now);
            }
          });
    }
  }
}
