package rushwood.lab.virt;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.LoadReport;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestClass.Consistency;
import rushwood.api.RequestClass.Idempotency;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;
import rushwood.api.RoutingSettings;
import rushwood.api.ZoneId;
import rushwood.config.InvalidConfigException;
import rushwood.config.RouterConfig;
import rushwood.lab.load.Experiment;
import rushwood.lab.load.Result;
import rushwood.lab.load.RouterSettings;
import rushwood.lab.model.HostModel;
import rushwood.lab.model.Ledger;
import rushwood.lab.model.Manners;
import rushwood.overload.ConnectBackoff;
import rushwood.overload.OverloadController;
import rushwood.overload.OverloadSettings;
import rushwood.policy.DefaultRoutingPolicy;

/**
 * Plays an experiment in virtual time with any number of routers, each with decisions of its own
 * that share nothing. Sockets are not modelled, so the door is not: connections are free, and only
 * attempts at hosts that are down count.
 */
public final class VirtualRun {
  private static final long MS = 1_000_000L;
  private static final long START = 1_000_000_000L * MS; // some Unix time
  private static final long WAY = MS / 2; // one way between any two: a data centre

  private final Experiment experiment;
  private final Events events = new Events(START);
  private final Result result;
  private final Ledger ledger = new Ledger();
  private final RoutingSettings settings;
  private final Map<HostId, Host> hosts = new LinkedHashMap<>();
  private final List<Router> routers = new ArrayList<>();
  private final OverloadSettings storm;
  private final Map<Integer, Integer> backByGroup = new TreeMap<>();
  private int waiting;
  private int fulfilled;
  private int inDoubt;
  private int outOfTries;
  private int turnedBack;
  private int tries;
  private int dials;
  private int shots;
  private long lastDone;

  private static final class Host {
    final HostModel model;
    final Experiment.Host kind;
    final Set<Shot> out = new LinkedHashSet<>();
    long startedMillis;

    Host(HostModel model, Experiment.Host kind) {
      this.model = model;
      this.kind = kind;
    }
  }

  /** With the storm module as set, or with the decisions alone if that is null. */
  public VirtualRun(Experiment experiment, OverloadSettings storm) throws InvalidConfigException {
    this.experiment = experiment;
    this.storm = storm;
    settings = RouterConfig.settings(RouterSettings.json(experiment).toString());
    result = new Result(experiment.name());
    int seed = 0;
    for (Experiment.Host each : experiment.hosts()) {
      HostModel model = new HostModel(each.kind(), each.primary(), experiment.seed() * 31 + seed++);
      model.tips(each.tips());
      hosts.put(new HostId(each.id()), new Host(model, each));
    }
  }

  public Result play() {
    for (int i = 0; i < experiment.allRouters(); i++) {
      routers.add(new Router(experiment.seed() * 1_000 + i));
    }
    int number = 0;
    for (Experiment.Crowd crowd : experiment.clients()) {
      RequestClass product = RequestClass.findByName(settings.requestClasses(), crowd.product());
      SplittableRandom chance = new SplittableRandom(experiment.seed() + number);
      for (int i = 0; i < crowd.count(); i++) {
        Client client = new Client(number++, crowd, product, chance);
        events.at(START + nanos(crowd.from() + crowd.over() * i / crowd.count()), client::next);
        waiting++;
      }
    }
    experiment.allEvents().forEach(each -> events.at(START + nanos(each.at()), () -> happen(each)));
    events.at(START, this::sample);
    long end = START + nanos(experiment.lasts());
    while (waiting > 0 && events.next(end)) {
      continue;
    }
    settle(number);
    return result;
  }

  private static long nanos(double seconds) {
    return Math.round(seconds * 1e9);
  }

  private void settle(int clients) {
    result.figure("routers", routers.size());
    result.figure("clients", clients);
    result.figure("share_fulfilled", (double) fulfilled / clients);
    result.figure("in_doubt", inDoubt);
    result.figure("out_of_tries", outOfTries);
    result.figure("unfinished", waiting);
    result.figure("turned_back", turnedBack);
    backByGroup.forEach((group, count) -> result.figure("turned_back_of_group_" + group, count));
    result.figure("tries", tries);
    result.figure("shots", shots);
    result.figure("dials_at_hosts_down", dials);
    double worst = 0;
    int falls = 0;
    double rate = 0;
    for (Host host : hosts.values()) {
      worst = Math.max(worst, host.model.worstPush());
      falls += host.model.falls();
      rate += host.kind.rate();
    }
    result.figure("worst_cold_push", worst);
    result.figure("falls", falls);
    result.figure("seconds_until_done", (lastDone - START) / 1e9);
    result.figure("seconds_of_work_owed", fulfilled / rate);
    result.figure("doubled_tries", ledger.doubledTries());
    result.figure("doubled_writes", ledger.doubledWrites());
    for (double percent : new double[] {50, 95, 99, 100}) {
      result.figure("done_p" + (int) percent, result.doneWithin(percent));
    }
  }

  private void sample() {
    hosts.forEach(
        (id, host) ->
            result.count(
                "in work at " + id, events.now() - START, host.model.inWork(events.now())));
    events.at(events.now() + 100 * MS, this::sample);
  }

  private void happen(Experiment.Event event) {
    Host host = event.host() == null ? null : hosts.get(new HostId(event.host()));
    switch (event.what()) {
      case "die" -> die(host);
      case "start" -> {
        host.model.start(events.now());
        host.startedMillis = events.now() / MS;
      }
      case "promote" ->
          hosts.values().stream()
              .filter(each -> each.kind.group() == host.kind.group())
              .forEach(each -> each.model.promote(each == host));
      case "demote" -> host.model.promote(false);
      case "hang" -> host.model.hang(true);
      case "wake" -> host.model.hang(false);
      case "list" ->
          routers.forEach(
              each -> each.tell(() -> each.decisions.endpointsUpdated(events.now(), list())));
      default ->
          throw new IllegalArgumentException(event.what() + " is not played in virtual time");
    }
  }

  private void die(Host host) {
    host.model.die();
    List.copyOf(host.out)
        .forEach(
            shot -> events.at(events.now() + WAY, () -> shot.end(AttemptOutcome.CONNECTION_LOST)));
  }

  private List<Endpoint> list() {
    return hosts.entrySet().stream()
        .map(
            each ->
                new Endpoint(
                    each.getKey(),
                    new GroupId(each.getValue().kind.group()),
                    new ZoneId("a"),
                    1,
                    each.getValue().startedMillis * MS,
                    each.getValue().model.isPrimary(),
                    Endpoint.State.READY))
        .toList();
  }

  // ---- a router

  private final class Shot {
    final Router router;
    final Open open;
    final int number;
    final HostId host;
    final long sentAt = events.now();
    boolean over;

    Shot(Router router, Open open, HostId host) {
      this.router = router;
      this.open = open;
      this.host = host;
      number = open.shots.size();
    }

    void end(AttemptOutcome end) {
      if (over) {
        return;
      }
      over = true;
      Host at = hosts.get(host);
      at.out.remove(this);
      boolean answered = end.isHostResponse();
      boolean write = open.access.requestClass().consistency() == Consistency.WRITE;
      Boolean primary = answered ? (Boolean) at.model.isPrimary() : null;
      long position = answered ? at.model.position(events.now()) : -1;
      if (end == AttemptOutcome.SUCCESS && open.client != null) {
        Client client = open.client;
        open.client = null;
        client.fulfilled();
      }
      router.tell(
          () -> {
            router.decisions.attemptFinished(
                events.now(),
                new AttemptResult(
                    open.access.id(),
                    number,
                    host,
                    end,
                    events.now() - sentAt,
                    open.client == null,
                    primary,
                    write && end == AttemptOutcome.SUCCESS ? events.now() : position,
                    LoadReport.NONE));
            router.forget(open);
          });
    }
  }

  private static final class Open {
    final Request access;
    final List<Shot> shots = new ArrayList<>();
    Client client;

    Open(Request access, Client client) {
      this.access = access;
      this.client = client;
    }
  }

  private final class Router implements PolicyActions {
    private final Map<RequestId, Open> opens = new HashMap<>();
    private final Deque<Runnable> calls = new ArrayDeque<>();
    private final ConnectBackoff paced;
    private final RoutingPolicy decisions;
    private boolean telling;
    private long wakeAt = Long.MAX_VALUE;

    Router(long seed) {
      paced =
          new ConnectBackoff(new SplittableRandom(~seed), storm != null && storm.connectBackoff());
      SplittableRandom chance = new SplittableRandom(seed);
      decisions =
          storm == null
              ? new DefaultRoutingPolicy(settings, chance, this)
              : new OverloadController(
                  settings,
                  storm,
                  paced,
                  this,
                  (crowd, out) -> new DefaultRoutingPolicy(settings, chance, out, crowd));
      tell(() -> decisions.endpointsReplaced(events.now(), list(), true));
    }

    void tell(Runnable call) {
      calls.add(call);
      if (!telling) {
        telling = true;
        for (Runnable next = calls.poll(); next != null; next = calls.poll()) {
          next.run();
        }
        telling = false;
      }
    }

    void arrived(Request access, Client client) {
      Open open = new Open(access, client);
      opens.put(access.id(), open);
      tell(() -> decisions.requestReceived(events.now(), access));
    }

    void left(RequestId id) {
      Open open = opens.get(id);
      if (open != null && open.client != null) {
        open.client = null;
        tell(
            () -> {
              decisions.clientDisconnected(events.now(), id);
              forget(open);
            });
      }
    }

    private void forget(Open open) {
      if (open.client == null && open.shots.stream().allMatch(each -> each.over)) {
        opens.remove(open.access.id());
      }
    }

    @Override
    public void send(RequestId id, HostId to, long timeOut, long beginWithin) {
      Open open = opens.get(id);
      Shot shot = new Shot(this, open, to);
      open.shots.add(shot);
      shots++;
      Host host = hosts.get(to);
      if (!host.model.isUp()) {
        if (paced.isAttemptAllowed(to, events.now())) {
          dials++;
          paced.attemptStarted(to);
          events.at(
              events.now() + 2 * WAY,
              () -> {
                paced.attemptFailed(to, events.now());
                shot.end(AttemptOutcome.CONNECT_FAILED);
              });
        } else {
          calls.add(() -> shot.end(AttemptOutcome.NOT_SENT));
        }
        return;
      }
      paced.attemptStarted(to);
      paced.attemptSucceeded(to);
      host.out.add(shot);
      events.at(events.now() + timeOut, () -> shot.end(AttemptOutcome.TIMED_OUT));
      events.at(events.now() + WAY, () -> reach(host, shot));
    }

    private void reach(Host host, Shot shot) {
      Request access = shot.open.access;
      boolean write = access.requestClass().consistency() == Consistency.WRITE;
      HostModel.Reply reply =
          host.model.offer(
              events.now(),
              write,
              access.requestClass().consistency() == Consistency.EVENTUAL ? -1 : 500 * MS);
      int life = host.model.life();
      switch (reply.verdict()) {
        case SILENT -> {
          if (!host.model.isUp()) {
            die(host);
          }
        }
        case OVERFULL -> events.at(events.now() + WAY, () -> shot.end(AttemptOutcome.OVERLOADED));
        case NOT_PRIMARY, TOO_FAR_BEHIND ->
            events.at(events.now() + WAY, () -> shot.end(AttemptOutcome.REPLICA_LAGGING));
        case TAKEN ->
            events.at(
                reply.doneAt(),
                () -> {
                  if (host.model.life() == life) {
                    if (write) {
                      ledger.ran((int) access.fingerprint(), access.id().value());
                    }
                    events.at(events.now() + WAY, () -> shot.end(AttemptOutcome.SUCCESS));
                  }
                });
      }
    }

    @Override
    public void cancel(RequestId id, int shot) {
      Open open = opens.get(id);
      if (open != null) {
        calls.add(() -> open.shots.get(shot).end(AttemptOutcome.CANCELLED));
      }
    }

    private Client over(RequestId id) {
      Open open = opens.get(id);
      Client client = open == null ? null : open.client;
      if (client != null) {
        open.client = null;
        forget(open);
      }
      return client;
    }

    @Override
    public void reject(RequestId id, long advice) {
      Client client = over(id);
      if (client != null) {
        events.at(events.now() + WAY, () -> client.turnedBack(advice));
      }
    }

    @Override
    public void fail(RequestId id) {
      Client client = over(id);
      if (client != null) {
        events.at(events.now() + WAY, client::failed);
      }
    }

    @Override
    public void probe(HostId id) {
      HostModel model = hosts.get(id).model;
      dials += model.isUp() ? 0 : 1;
      events.at(
          events.now() + 2 * WAY,
          () -> {
            boolean up = model.isUp();
            LoadReport report =
                up
                    ? new LoadReport(model.position(events.now()), model.isPrimary())
                    : LoadReport.NONE;
            tell(() -> decisions.probeFinished(events.now(), id, up, report));
          });
    }

    @Override
    public void wakeAt(long at) {
      if (at < wakeAt) {
        wakeAt = at;
        events.at(
            at,
            () -> {
              if (wakeAt == at) {
                wakeAt = Long.MAX_VALUE;
                tell(() -> decisions.timerFired(events.now()));
              }
            });
      }
    }

    @Override
    public void subscribeToEndpoints() {
      // the list is there
    }

    @Override
    public void log(String line) {
      if (line.startsWith("overload at router")) {
        result.count("changes of weather", events.now() - START, 1);
      }
    }
  }

  // ---- a client

  private final class Client {
    private final int number;
    private final Experiment.Crowd kind;
    private final RequestClass product;
    private final SplittableRandom chance;
    private final Manners manners;
    private final Router router;
    private long began = -1;
    private int tried;
    private boolean answered;

    Client(int number, Experiment.Crowd kind, RequestClass product, SplittableRandom chance) {
      this.number = number;
      this.kind = kind;
      this.product = product;
      this.chance = chance;
      manners = kind.comesBack();
      router = routers.get(number % routers.size());
    }

    void next() {
      began = began < 0 ? events.now() : began;
      tried++;
      tries++;
      answered = false;
      result.count("tries", events.now() - START, 1);
      int mine = tried;
      long due = events.now() + nanos(kind.outer());
      RequestId id = new RequestId(number + "-" + tried);
      events.at(
          events.now() + WAY,
          () ->
              router.arrived(
                  new Request(
                      id, product, null, new GroupId(kind.group()), due - WAY, 0, number + 1L, 0),
                  this));
      events.at(
          due,
          () -> {
            if (tried == mine && !answered) {
              answered = true;
              router.left(id);
              lost();
            }
          });
    }

    void fulfilled() {
      if (!answered) {
        answered = true;
        fulfilled++;
        waiting--;
        lastDone = events.now();
        result.count("goodput", events.now() - START, 1);
        result.done(events.now() - began);
      }
    }

    void turnedBack(long told) {
      if (!answered) {
        answered = true;
        turnedBack++;
        backByGroup.merge(kind.group(), 1, Integer::sum);
        again(told);
      }
    }

    void failed() {
      if (!answered) {
        answered = true;
        lost();
      }
    }

    private void lost() {
      if (product.idempotency() == Idempotency.NON_IDEMPOTENT) {
        inDoubt++;
        waiting--;
      } else {
        again(0);
      }
    }

    private void again(long told) {
      if (tried >= kind.tries()) {
        outOfTries++;
        waiting--;
      } else {
        events.at(events.now() + manners.pause(tried, told, chance), this::next);
      }
    }
  }
}
