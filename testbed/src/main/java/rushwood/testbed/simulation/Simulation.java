package rushwood.testbed.simulation;

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
import rushwood.api.HostRole;
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
import rushwood.overload.ConnectBackoff;
import rushwood.overload.OverloadController;
import rushwood.overload.OverloadSettings;
import rushwood.policy.DefaultRoutingPolicy;
import rushwood.testbed.load.Experiment;
import rushwood.testbed.load.ExperimentResult;
import rushwood.testbed.load.RouterSettings;
import rushwood.testbed.model.HostModel;
import rushwood.testbed.model.RetryBehavior;
import rushwood.testbed.model.WriteLedger;

/**
 * Plays an experiment in virtual time with any number of routers, each with decisions of its own
 * that share nothing. Sockets are not modelled, so the door is not: connections are free, and only
 * attempts at hosts that are down count.
 */
public final class Simulation {
  private static final long MS = 1_000_000L;
  private static final long START_TIME = 1_000_000_000L * MS; // some Unix time
  private static final long ONE_WAY_LATENCY = MS / 2; // one way between any two: a data centre

  private final Experiment experiment;
  private final EventQueue events = new EventQueue(START_TIME);
  private final ExperimentResult result;
  private final WriteLedger ledger = new WriteLedger();
  private final RoutingSettings settings;
  private final Map<HostId, VirtualHost> hosts = new LinkedHashMap<>();
  private final List<VirtualRouter> routers = new ArrayList<>();
  private final OverloadSettings overloadSettings;
  private final Map<Integer, Integer> rejectedByGroup = new TreeMap<>();
  private int unfinished;
  private int succeeded;
  private int outcomeUnknown;
  private int triesExhausted;
  private int rejected;
  private int tries;
  private int connectsWhileDown;
  private int attempts;
  private long lastCompletedAt;

  private static final class VirtualHost {
    final HostModel model;
    final Experiment.HostSpec spec;
    final Set<VirtualAttempt> attemptsInFlight = new LinkedHashSet<>();
    long startedMillis;

    VirtualHost(HostModel model, Experiment.HostSpec spec) {
      this.model = model;
      this.spec = spec;
    }
  }

  /** With the storm module as set, or with the decisions alone if that is null. */
  public Simulation(Experiment experiment, OverloadSettings overloadSettings)
      throws InvalidConfigException {
    this.experiment = experiment;
    this.overloadSettings = overloadSettings;
    settings = RouterConfig.settings(RouterSettings.json(experiment).toString());
    result = new ExperimentResult(experiment.name());
    int seed = 0;
    for (Experiment.HostSpec each : experiment.hosts()) {
      HostModel model =
          new HostModel(each.modelParameters(), each.primary(), experiment.seed() * 31 + seed++);
      model.crashOnOverload(each.tips());
      hosts.put(new HostId(each.id()), new VirtualHost(model, each));
    }
  }

  public ExperimentResult run() {
    for (int i = 0; i < experiment.routerCount(); i++) {
      routers.add(new VirtualRouter(experiment.seed() * 1_000 + i));
    }
    int number = 0;
    for (Experiment.PopulationSpec spec : experiment.clients()) {
      RequestClass requestClass =
          RequestClass.findByName(settings.requestClasses(), spec.product());
      SplittableRandom random = new SplittableRandom(experiment.seed() + number);
      for (int i = 0; i < spec.count(); i++) {
        VirtualClient client = new VirtualClient(number++, spec, requestClass, random);
        events.schedule(
            START_TIME + nanos(spec.from() + spec.over() * i / spec.count()), client::startTry);
        unfinished++;
      }
    }
    experiment
        .eventsInOrder()
        .forEach(each -> events.schedule(START_TIME + nanos(each.at()), () -> apply(each)));
    events.schedule(START_TIME, this::sample);
    long end = START_TIME + nanos(experiment.lasts());
    while (unfinished > 0 && events.runNext(end)) {
      continue;
    }
    reportFigures(number);
    return result;
  }

  private static long nanos(double seconds) {
    return Math.round(seconds * 1e9);
  }

  private void reportFigures(int clients) {
    result.recordFigure("routers", routers.size());
    result.recordFigure("clients", clients);
    result.recordFigure("share_fulfilled", (double) succeeded / clients);
    result.recordFigure("in_doubt", outcomeUnknown);
    result.recordFigure("out_of_tries", triesExhausted);
    result.recordFigure("unfinished", unfinished);
    result.recordFigure("turned_back", rejected);
    rejectedByGroup.forEach(
        (group, count) -> result.recordFigure("turned_back_of_group_" + group, count));
    result.recordFigure("tries", tries);
    result.recordFigure("shots", attempts);
    result.recordFigure("dials_at_hosts_down", connectsWhileDown);
    double worst = 0;
    int falls = 0;
    double rate = 0;
    for (VirtualHost host : hosts.values()) {
      worst = Math.max(worst, host.model.worstColdOverload());
      falls += host.model.overloadCrashes();
      rate += host.spec.rate();
    }
    result.recordFigure("worst_cold_push", worst);
    result.recordFigure("falls", falls);
    result.recordFigure("seconds_until_done", (lastCompletedAt - START_TIME) / 1e9);
    result.recordFigure("seconds_of_work_owed", succeeded / rate);
    result.recordFigure("doubled_tries", ledger.duplicatedTries());
    result.recordFigure("doubled_writes", ledger.duplicatedWrites());
    for (double percent : new double[] {50, 95, 99, 100}) {
      result.recordFigure("done_p" + (int) percent, result.completionPercentile(percent));
    }
  }

  private void sample() {
    hosts.forEach(
        (id, host) ->
            result.addToSeries(
                "in work at " + id,
                events.now() - START_TIME,
                host.model.activeRequests(events.now())));
    events.schedule(events.now() + 100 * MS, this::sample);
  }

  private void apply(Experiment.ScheduledEvent event) {
    VirtualHost host = event.host() == null ? null : hosts.get(new HostId(event.host()));
    switch (event.what()) {
      case "die" -> crashHost(host);
      case "start" -> {
        host.model.restart(events.now());
        host.startedMillis = events.now() / MS;
      }
      case "promote" ->
          hosts.values().stream()
              .filter(each -> each.spec.group() == host.spec.group())
              .forEach(each -> each.model.setPrimary(each == host));
      case "demote" -> host.model.setPrimary(false);
      case "hang" -> host.model.setHung(true);
      case "wake" -> host.model.setHung(false);
      case "list" ->
          routers.forEach(
              each ->
                  each.callPolicy(
                      () -> each.policy.endpointsUpdated(events.now(), endpointList())));
      default ->
          throw new IllegalArgumentException(event.what() + " is not played in virtual time");
    }
  }

  private void crashHost(VirtualHost host) {
    host.model.crash();
    List.copyOf(host.attemptsInFlight)
        .forEach(
            attempt ->
                events.schedule(
                    events.now() + ONE_WAY_LATENCY,
                    () -> attempt.end(AttemptOutcome.CONNECTION_LOST)));
  }

  private List<Endpoint> endpointList() {
    return hosts.entrySet().stream()
        .map(
            each ->
                new Endpoint(
                    each.getKey(),
                    new GroupId(each.getValue().spec.group()),
                    new ZoneId("a"),
                    1,
                    each.getValue().startedMillis * MS,
                    each.getValue().model.isPrimary(),
                    Endpoint.State.READY))
        .toList();
  }

  // ---- a router

  private final class VirtualAttempt {
    final VirtualRouter router;
    final VirtualRequest request;
    final int number;
    final HostId host;
    final long sentAt = events.now();
    boolean ended;

    VirtualAttempt(VirtualRouter router, VirtualRequest request, HostId host) {
      this.router = router;
      this.request = request;
      this.host = host;
      number = request.attempts.size();
    }

    void end(AttemptOutcome outcome) {
      if (ended) {
        return;
      }
      ended = true;
      VirtualHost at = hosts.get(host);
      at.attemptsInFlight.remove(this);
      boolean answered = outcome.isHostResponse();
      boolean write = request.request.requestClass().isWrite();
      HostRole role = answered ? HostRole.of(at.model.isPrimary()) : HostRole.UNKNOWN;
      long position = answered ? at.model.position(events.now()) : -1;
      if (outcome == AttemptOutcome.SUCCESS && request.client != null) {
        VirtualClient client = request.client;
        request.client = null;
        client.onSuccess();
      }
      router.callPolicy(
          () -> {
            router.policy.attemptFinished(
                events.now(),
                new AttemptResult(
                    request.request.id(),
                    number,
                    host,
                    outcome,
                    events.now() - sentAt,
                    request.client == null,
                    role,
                    write && outcome == AttemptOutcome.SUCCESS ? events.now() : position,
                    LoadReport.NONE));
            router.forget(request);
          });
    }
  }

  private static final class VirtualRequest {
    final Request request;
    final List<VirtualAttempt> attempts = new ArrayList<>();
    VirtualClient client;

    VirtualRequest(Request request, VirtualClient client) {
      this.request = request;
      this.client = client;
    }
  }

  private final class VirtualRouter implements PolicyActions {
    private final Map<RequestId, VirtualRequest> requests = new HashMap<>();
    private final Deque<Runnable> pendingCalls = new ArrayDeque<>();
    private final ConnectBackoff connectBackoff;
    private final RoutingPolicy policy;
    private boolean running;
    private long timerAt = Long.MAX_VALUE;

    VirtualRouter(long seed) {
      connectBackoff =
          new ConnectBackoff(
              new SplittableRandom(~seed),
              overloadSettings != null && overloadSettings.connectBackoff());
      SplittableRandom random = new SplittableRandom(seed);
      policy =
          overloadSettings == null
              ? new DefaultRoutingPolicy(settings, random, this)
              : new OverloadController(
                  settings,
                  overloadSettings,
                  connectBackoff,
                  this,
                  (crowd, out) -> new DefaultRoutingPolicy(settings, random, out, crowd));
      callPolicy(() -> policy.endpointsReplaced(events.now(), endpointList(), true));
    }

    void callPolicy(Runnable policyCall) {
      pendingCalls.add(policyCall);
      if (!running) {
        running = true;
        for (Runnable next = pendingCalls.poll(); next != null; next = pendingCalls.poll()) {
          next.run();
        }
        running = false;
      }
    }

    void requestArrived(Request access, VirtualClient client) {
      VirtualRequest open = new VirtualRequest(access, client);
      requests.put(access.id(), open);
      callPolicy(() -> policy.requestReceived(events.now(), access));
    }

    void clientDisconnected(RequestId id) {
      VirtualRequest open = requests.get(id);
      if (open != null && open.client != null) {
        open.client = null;
        callPolicy(
            () -> {
              policy.clientDisconnected(events.now(), id);
              forget(open);
            });
      }
    }

    private void forget(VirtualRequest request) {
      if (request.client == null && request.attempts.stream().allMatch(each -> each.ended)) {
        requests.remove(request.request.id());
      }
    }

    @Override
    public void send(RequestId id, HostId to, long timeOut, long beginWithin) {
      VirtualRequest open = requests.get(id);
      VirtualAttempt shot = new VirtualAttempt(this, open, to);
      open.attempts.add(shot);
      attempts++;
      VirtualHost host = hosts.get(to);
      if (!host.model.isUp()) {
        if (connectBackoff.isAttemptAllowed(to, events.now())) {
          connectsWhileDown++;
          connectBackoff.attemptStarted(to);
          events.schedule(
              events.now() + 2 * ONE_WAY_LATENCY,
              () -> {
                connectBackoff.attemptFailed(to, events.now());
                shot.end(AttemptOutcome.CONNECT_FAILED);
              });
        } else {
          pendingCalls.add(() -> shot.end(AttemptOutcome.NOT_SENT));
        }
        return;
      }
      connectBackoff.attemptStarted(to);
      connectBackoff.attemptSucceeded(to);
      host.attemptsInFlight.add(shot);
      events.schedule(events.now() + timeOut, () -> shot.end(AttemptOutcome.TIMED_OUT));
      events.schedule(events.now() + ONE_WAY_LATENCY, () -> deliver(host, shot));
    }

    private void deliver(VirtualHost host, VirtualAttempt attempt) {
      Request request = attempt.request.request;
      boolean write = request.requestClass().isWrite();
      HostModel.OfferResult result =
          host.model.offer(
              events.now(),
              write,
              request.requestClass().consistency() == Consistency.EVENTUAL ? -1 : 500 * MS);
      int incarnation = host.model.incarnation();
      switch (result.status()) {
        case NO_RESPONSE -> {
          if (!host.model.isUp()) {
            crashHost(host);
          }
        }
        case OVERLOADED ->
            events.schedule(
                events.now() + ONE_WAY_LATENCY, () -> attempt.end(AttemptOutcome.OVERLOADED));
        case NOT_PRIMARY, REPLICA_LAGGING ->
            events.schedule(
                events.now() + ONE_WAY_LATENCY, () -> attempt.end(AttemptOutcome.REPLICA_LAGGING));
        case ACCEPTED ->
            events.schedule(
                result.completesAt(),
                () -> {
                  if (host.model.incarnation() == incarnation) {
                    if (write) {
                      ledger.recordExecution((int) request.fingerprint(), request.id().value());
                    }
                    events.schedule(
                        events.now() + ONE_WAY_LATENCY, () -> attempt.end(AttemptOutcome.SUCCESS));
                  }
                });
      }
    }

    @Override
    public void cancel(RequestId id, int shot) {
      VirtualRequest open = requests.get(id);
      if (open != null) {
        pendingCalls.add(() -> open.attempts.get(shot).end(AttemptOutcome.CANCELLED));
      }
    }

    private VirtualClient detachClient(RequestId id) {
      VirtualRequest open = requests.get(id);
      VirtualClient client = open == null ? null : open.client;
      if (client != null) {
        open.client = null;
        forget(open);
      }
      return client;
    }

    @Override
    public void reject(RequestId id, long advice) {
      VirtualClient client = detachClient(id);
      if (client != null) {
        events.schedule(events.now() + ONE_WAY_LATENCY, () -> client.onRejected(advice));
      }
    }

    @Override
    public void fail(RequestId id) {
      VirtualClient client = detachClient(id);
      if (client != null) {
        events.schedule(events.now() + ONE_WAY_LATENCY, client::onFailed);
      }
    }

    @Override
    public void probe(HostId id) {
      HostModel model = hosts.get(id).model;
      connectsWhileDown += model.isUp() ? 0 : 1;
      events.schedule(
          events.now() + 2 * ONE_WAY_LATENCY,
          () -> {
            boolean up = model.isUp();
            LoadReport report =
                up
                    ? new LoadReport(model.position(events.now()), HostRole.of(model.isPrimary()))
                    : LoadReport.NONE;
            callPolicy(() -> policy.probeFinished(events.now(), id, up, report));
          });
    }

    @Override
    public void wakeAt(long at) {
      if (at < timerAt) {
        timerAt = at;
        events.schedule(
            at,
            () -> {
              if (timerAt == at) {
                timerAt = Long.MAX_VALUE;
                callPolicy(() -> policy.timerFired(events.now()));
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
        result.addToSeries("changes of weather", events.now() - START_TIME, 1);
      }
    }
  }

  // ---- a client

  private final class VirtualClient {
    private final int number;
    private final Experiment.PopulationSpec spec;
    private final RequestClass requestClass;
    private final SplittableRandom random;
    private final RetryBehavior retryBehavior;
    private final VirtualRouter router;
    private long startedAt = -1;
    private int triesMade;
    private boolean answered;

    VirtualClient(
        int number,
        Experiment.PopulationSpec spec,
        RequestClass requestClass,
        SplittableRandom random) {
      this.number = number;
      this.spec = spec;
      this.requestClass = requestClass;
      this.random = random;
      retryBehavior = spec.retryBehavior();
      router = routers.get(number % routers.size());
    }

    void startTry() {
      startedAt = startedAt < 0 ? events.now() : startedAt;
      triesMade++;
      tries++;
      answered = false;
      result.addToSeries("tries", events.now() - START_TIME, 1);
      int thisTry = triesMade;
      long deadline = events.now() + nanos(spec.outer());
      RequestId id = new RequestId(number + "-" + triesMade);
      events.schedule(
          events.now() + ONE_WAY_LATENCY,
          () ->
              router.requestArrived(
                  new Request(
                      id,
                      requestClass,
                      null,
                      new GroupId(spec.group()),
                      deadline - ONE_WAY_LATENCY,
                      0,
                      number + 1L,
                      0),
                  this));
      events.schedule(
          deadline,
          () -> {
            if (triesMade == thisTry && !answered) {
              answered = true;
              router.clientDisconnected(id);
              handleUnknownOutcome();
            }
          });
    }

    void onSuccess() {
      if (!answered) {
        answered = true;
        succeeded++;
        unfinished--;
        lastCompletedAt = events.now();
        result.addToSeries("goodput", events.now() - START_TIME, 1);
        result.recordCompletion(events.now() - startedAt);
      }
    }

    void onRejected(long retryAfter) {
      if (!answered) {
        answered = true;
        rejected++;
        rejectedByGroup.merge(spec.group(), 1, Integer::sum);
        retryOrFinish(retryAfter);
      }
    }

    void onFailed() {
      if (!answered) {
        answered = true;
        handleUnknownOutcome();
      }
    }

    private void handleUnknownOutcome() {
      if (requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
        outcomeUnknown++;
        unfinished--;
      } else {
        retryOrFinish(0);
      }
    }

    private void retryOrFinish(long retryAfter) {
      if (triesMade >= spec.tries()) {
        triesExhausted++;
        unfinished--;
      } else {
        events.schedule(
            events.now() + retryBehavior.retryDelay(triesMade, retryAfter, random), this::startTry);
      }
    }
  }
}
