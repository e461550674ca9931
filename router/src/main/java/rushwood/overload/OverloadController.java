package rushwood.overload;

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
import rushwood.api.RequestClass.Idempotency;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;
import rushwood.api.RoutingSettings;

/**
 * Stands before the decisions of a router: it hears what they hear, sees storms in it, and gives
 * them the figures and budgets that {@link Crowd} names. It sends nothing by itself but the end of
 * a write that its client repeats while the last try may still run, where the operator wants that.
 */
public final class OverloadController implements RoutingPolicy, OverloadSignals {
  /** Counts since the start. */
  public static final class OverloadCounts {
    public long repeatedRequests;
    public long returnedAsAdvised;
    public long reserved;
    public long unreserved;
    public long retriesDenied;
    public long ambiguousWritesFailed;
    public long stateChanges;
  }

  private static final int SKETCH_CELLS_PER_ROW =
      1 << 14; // of a sketch's row, 128 KiB in all: 5,000 unanswered a span, and 0.7% too many
  private static final int CACHE_BUCKETS =
      1 << 10; // 4,096 returns or doubts at once: half a second of 8,000 a second
  private static final double UNANSWERED_DECAY =
      0.95; // a tick: half in 1.4 s, by when most that come back have come
  private static final long RETURN_TOLERANCE_NANOS =
      500_000_000L; // a client that returns this much after its time has lost its place

  private final RoutingSettings settings;
  private final OverloadSettings overloadSettings;
  private final PolicyActions actions;
  private final RoutingPolicy policy;
  private final RepeatSketch repeatSketch;
  private final FingerprintCache reservedReturns;
  private final FingerprintCache ambiguousWrites;
  private final RetryAfterSchedule retryAfterSchedule;
  private final OverloadSignals defaultSignals;
  private final ConnectBackoff connectBackoff;
  private final OverloadDetector routerDetector = new OverloadDetector();
  private final Map<GroupId, GroupState> groups =
      new TreeMap<>((a, b) -> Integer.compare(a.value(), b.value()));
  private final Map<HostId, OverloadDetector> hostDetectors = new LinkedHashMap<>();
  private final Map<HostId, GroupId> groupByHost = new LinkedHashMap<>();
  private final Map<RequestId, TrackedRequest> trackedRequests = new LinkedHashMap<>();
  private final OverloadCounts counts = new OverloadCounts();
  private long nextTickAt = Long.MIN_VALUE;
  private long waitingRequests;
  private long lastEventAt;
  private long lastAmbiguityId;

  /** An access that is open here, or whose client has its answer while shots are out. */
  private static final class TrackedRequest {
    final Request request;
    int attemptsInFlight;
    boolean mayHaveExecuted;
    boolean finished;
    long ambiguityId; // the number under which it is in doubt, 0 for none

    TrackedRequest(Request request) {
      this.request = request;
    }

    boolean isUnsafeToRepeat() {
      return request.requestClass().isWrite()
          && request.requestClass().idempotency() != Idempotency.IDEMPOTENT;
    }
  }

  private final class GroupState {
    final OverloadDetector detector = new OverloadDetector();
    final RetryBudget retryBudget =
        new RetryBudget(
            overloadSettings.retriesPerFirstAttempt(), overloadSettings.minRetriesPerSecond());
    // Tries without an answer that nobody has come back for yet, fading: there are no more repeats
    // than those. Guards
    // against hot keys, which many clients ask for: with few keys 90% of a calm day passed for
    // repeats.
    double unansweredRequests;
  }

  /** With what makes the decisions from these figures and an outlet. */
  public OverloadController(
      RoutingSettings settings,
      OverloadSettings overloadSettings,
      ConnectBackoff connectBackoff,
      PolicyActions actions,
      BiFunction<OverloadSignals, PolicyActions, RoutingPolicy> policyFactory) {
    this.settings = settings;
    this.overloadSettings = overloadSettings;
    this.connectBackoff = connectBackoff;
    this.actions = actions;
    defaultSignals = OverloadSignals.withoutOverloadControl(settings);
    reservedReturns =
        new FingerprintCache(overloadSettings.retryAfterSchedule() ? CACHE_BUCKETS : 1);
    ambiguousWrites =
        new FingerprintCache(overloadSettings.failAmbiguousWrites() ? CACHE_BUCKETS : 1);
    long repeatSpan =
        settings.requestClasses().stream()
                .mapToLong(each -> 2 * each.latencyObjectiveNanos())
                .max()
                .orElse(1)
            + settings.maxRetryAfterNanos();
    repeatSketch = new RepeatSketch(SKETCH_CELLS_PER_ROW, repeatSpan);
    retryAfterSchedule =
        new RetryAfterSchedule(
            Math.max(RetryAfterSchedule.SLOT_NANOS, settings.maxRetryAfterNanos()));
    policy = policyFactory.apply(this, new ObservedActions());
  }

  public OverloadDetector.State state() {
    return routerDetector.state();
  }

  public OverloadDetector.State state(GroupId group) {
    GroupState known = groups.get(group);
    return known == null ? OverloadDetector.State.NORMAL : known.detector.state();
  }

  public OverloadCounts counts() {
    return counts;
  }

  /** Accesses that are kept. */
  int trackedRequestCount() {
    return trackedRequests.size();
  }

  /** Bytes held by what is of fixed size. */
  public long memoryBytes() {
    return repeatSketch.memoryBytes()
        + reservedReturns.memoryBytes()
        + ambiguousWrites.memoryBytes()
        + retryAfterSchedule.memoryBytes();
  }

  // ---- what the decisions hear

  @Override
  public void endpointsReplaced(long now, List<Endpoint> list, boolean remembered) {
    List<HostId> named = list.stream().map(Endpoint::id).toList();
    if (settings.isRemovalBinding()) {
      List.copyOf(groupByHost.keySet()).stream()
          .filter(each -> !named.contains(each))
          .forEach(this::removeHost);
    }
    list.forEach(this::registerHost);
    policy.endpointsReplaced(now, list, remembered);
  }

  @Override
  public void endpointsUpdated(long now, List<Endpoint> changes) {
    for (Endpoint each : changes) {
      if (each.state() == Endpoint.State.REMOVED && settings.isRemovalBinding()) {
        removeHost(each.id());
      } else {
        registerHost(each);
      }
    }
    policy.endpointsUpdated(now, changes);
  }

  private void registerHost(Endpoint endpoint) {
    groupByHost.put(endpoint.id(), endpoint.group());
    groups.computeIfAbsent(endpoint.group(), each -> new GroupState());
    hostDetectors.computeIfAbsent(endpoint.id(), each -> new OverloadDetector());
  }

  private void removeHost(HostId host) {
    GroupId group = groupByHost.remove(host);
    hostDetectors.remove(host);
    connectBackoff.forget(host);
    if (group != null && !groupByHost.containsValue(group)) {
      groups.remove(group);
    }
  }

  @Override
  public void endpointRefreshFailed(long now) {
    policy.endpointRefreshFailed(now);
  }

  @Override
  public void requestReceived(long now, Request request) {
    tickIfDue(now);
    GroupState group = groups.get(request.group());
    boolean seenBefore =
        request.fingerprint() != 0 && repeatSketch.count(request.fingerprint(), now) > 0;
    long advisedWait = seenBefore ? reservedReturns.get(request.fingerprint(), now) : -1;
    boolean repeated = seenBefore && group != null && group.unansweredRequests >= 1;
    if (advisedWait >= 0) {
      reservedReturns.remove(request.fingerprint());
      counts.returnedAsAdvised++;
    }
    if (repeated) {
      counts.repeatedRequests++;
      group.unansweredRequests--;
    }
    recordArrival(routerDetector, repeated);
    recordArrival(group == null ? null : group.detector, repeated);
    TrackedRequest tracked = new TrackedRequest(request);
    if (overloadSettings.failAmbiguousWrites()
        && tracked.isUnsafeToRepeat()
        && ambiguousWrites.get(request.fingerprint(), now) >= 0) {
      counts.ambiguousWritesFailed++;
      actions.fail(
          request.id()); // its last try may still run, or has: nobody can promise that once is all
      return;
    }
    trackedRequests.put(request.id(), tracked);
    waitingRequests++;
    policy.requestReceived(now, advisedWait > 0 ? request.afterWaiting(advisedWait) : request);
  }

  private static void recordArrival(OverloadDetector detector, boolean repeated) {
    if (detector != null) {
      detector.tickCounts().arrivals++;
      detector.tickCounts().repeats += repeated ? 1 : 0;
    }
  }

  @Override
  public void attemptFinished(long now, AttemptResult result) {
    tickIfDue(now);
    GroupId id = groupByHost.get(result.host());
    GroupState group = id == null ? null : groups.get(id);
    boolean succeeded = result.outcome() == AttemptOutcome.SUCCESS;
    boolean timedOut = result.outcome() == AttemptOutcome.TIMED_OUT;
    boolean refusedByHost =
        timedOut
            || result.outcome() == AttemptOutcome.CONNECT_FAILED
            || result.outcome() == AttemptOutcome.OVERLOADED;
    recordOutcome(routerDetector, succeeded, timedOut);
    recordOutcome(group == null ? null : group.detector, succeeded, timedOut);
    recordOutcome(hostDetectors.get(result.host()), succeeded, refusedByHost);
    TrackedRequest tracked = trackedRequests.get(result.request());
    if (tracked != null) {
      tracked.attemptsInFlight--;
      tracked.mayHaveExecuted |= !result.outcome().provesNotExecuted();
      if (result.requestFinished() && !tracked.finished) {
        tracked.finished = true; // it was fulfilled: nobody comes back for it
        waitingRequests--;
        tracked.mayHaveExecuted = false;
      }
      releaseIfSettled(now, tracked);
    }
    policy.attemptFinished(now, result);
  }

  /**
   * With no shot out an access that is over is forgotten. Its doubt ends with proof that it never
   * ran; where another access of the same mark is in doubt too, only time ends both.
   */
  private void releaseIfSettled(long now, TrackedRequest tracked) {
    if (tracked.finished && tracked.attemptsInFlight <= 0) {
      trackedRequests.remove(tracked.request.id());
      if (tracked.ambiguityId > 0
          && !tracked.mayHaveExecuted
          && ambiguousWrites.get(tracked.request.fingerprint(), now) == tracked.ambiguityId) {
        ambiguousWrites.remove(tracked.request.fingerprint());
      }
    }
  }

  private static void recordOutcome(OverloadDetector detector, boolean completed, boolean refused) {
    if (detector != null) {
      detector.tickCounts().completed += completed ? 1 : 0;
      detector.tickCounts().refused += refused ? 1 : 0;
    }
  }

  @Override
  public void clientDisconnected(long now, RequestId requestId) {
    tickIfDue(now);
    recordUnanswered(now, requestId);
    policy.clientDisconnected(now, requestId);
  }

  @Override
  public void shuttingDown(long now, long at) {
    policy.shuttingDown(now, at);
  }

  /**
   * Its client has no answer that ends it, and may come back: with a write that may have run, in
   * doubt.
   */
  private void recordUnanswered(long now, RequestId requestId) {
    TrackedRequest tracked = trackedRequests.get(requestId);
    if (tracked == null || tracked.finished) {
      return;
    }
    tracked.finished = true;
    waitingRequests--;
    if (tracked.request.fingerprint() != 0) {
      repeatSketch.add(tracked.request.fingerprint(), now);
      GroupState group = groups.get(tracked.request.group());
      if (group != null) {
        group.unansweredRequests++;
      }
      if (overloadSettings.failAmbiguousWrites()
          && tracked.isUnsafeToRepeat()
          && (tracked.attemptsInFlight > 0 || tracked.mayHaveExecuted)) {
        long expiresAt =
            Math.max(
                tracked.request.deadline(),
                now + tracked.request.requestClass().idempotencyWindowNanos());
        boolean alreadyAmbiguous = ambiguousWrites.get(tracked.request.fingerprint(), now) >= 0;
        tracked.ambiguityId = ++lastAmbiguityId;
        ambiguousWrites.put(
            tracked.request.fingerprint(),
            expiresAt,
            alreadyAmbiguous ? 0 : tracked.ambiguityId,
            now);
      }
    }
    releaseIfSettled(now, tracked);
  }

  @Override
  public void probeFinished(long now, HostId host, boolean answered, LoadReport report) {
    policy.probeFinished(now, host, answered, report);
  }

  @Override
  public void timerFired(long now) {
    tickIfDue(now);
    policy.timerFired(now);
  }

  // ---- the weather

  private void tickIfDue(long now) {
    lastEventAt = now;
    if (now < nextTickAt) {
      return;
    }
    nextTickAt = now + OverloadDetector.TICK_NANOS;
    removeOverdueRequests(now);
    tickDetector("router", routerDetector);
    groups.forEach(
        (id, group) -> {
          group.unansweredRequests *= UNANSWERED_DECAY;
          tickDetector("group " + id, group.detector);
        });
    hostDetectors.forEach((id, detector) -> tickDetector("host " + id, detector));
    retryAfterSchedule.setExpectedRate(
        Math.max(routerDetector.completionRate(), routerDetector.peakCompletionRate() / 2));
  }

  /**
   * The network ends an access by itself where the decisions failed over it, and nobody hears of
   * that: what is here long after its time is over. Harm: none, since no shot is waited for after
   * its access is due.
   */
  private void removeOverdueRequests(long now) {
    Iterator<TrackedRequest> each = trackedRequests.values().iterator();
    while (each.hasNext()) {
      TrackedRequest tracked = each.next();
      if (tracked.request.deadline() > now - OVERDUE_GRACE_NANOS) {
        return; // the later ones came later: one that waits long only keeps them a while
      }
      waitingRequests -= tracked.finished ? 0 : 1;
      each.remove();
    }
  }

  private static final long OVERDUE_GRACE_NANOS = 1_000_000_000L; // far above any turn of the loop

  private void tickDetector(String scope, OverloadDetector detector) {
    if (detector.tick()) {
      counts.stateChanges++;
      actions.log("overload at " + scope + " is " + detector);
    }
  }

  // ---- what the decisions ask

  @Override
  public long retryAfterNanos(long now, Request request, boolean crowded) {
    GroupState group = groups.get(request.group());
    routerDetector.tickCounts().refused++;
    if (group != null) {
      group.detector.tickCounts().refused++;
    }
    if (!overloadSettings.retryAfterSchedule()) {
      return defaultSignals.retryAfterNanos(now, request, crowded);
    }
    if (!settings.canSendRetryAfter()
        || !crowded && state(request.group()) == OverloadDetector.State.NORMAL) {
      return 0;
    }
    boolean highPriority = request.requestClass().isWrite();
    RetryAfterSchedule.Reservation reservation =
        retryAfterSchedule.reserve(
            now,
            request.group().value(),
            highPriority,
            waitingRequests,
            settings.maxRetryAfterNanos());
    counts.reserved += reservation.reserved() ? 1 : 0;
    counts.unreserved += reservation.reserved() ? 0 : 1;
    if (request.fingerprint() != 0) {
      reservedReturns.put(
          request.fingerprint(),
          now + reservation.waitNanos() + RETURN_TOLERANCE_NANOS,
          reservation.waitNanos(),
          now);
    }
    return reservation.waitNanos();
  }

  /** For one who finds no room at the door: there is no access yet, so the place is for anyone. */
  public long retryAfterForRefusedConnection(long now) {
    if (!settings.canSendRetryAfter()) {
      return 0;
    }
    return overloadSettings.retryAfterSchedule()
        ? retryAfterSchedule
            .reserve(now, -1, false, waitingRequests, settings.maxRetryAfterNanos())
            .waitNanos()
        : settings.maxRetryAfterNanos();
  }

  @Override
  public boolean canRetry(long now, GroupId id) {
    OverloadDetector.State state = state(id);
    boolean overloaded =
        state == OverloadDetector.State.OVERLOADED || state == OverloadDetector.State.RECOVERING;
    boolean allowed = !overloaded || groups.get(id).retryBudget.isRetryAllowed(now);
    counts.retriesDenied += allowed ? 0 : 1;
    return allowed;
  }

  @Override
  public void attemptSent(long now, GroupId id, boolean further) {
    GroupState group = groups.get(id);
    if (group != null && further) {
      group.retryBudget.recordRetry(now);
    } else if (group != null) {
      group.retryBudget.recordFirstAttempt(now);
    }
  }

  @Override
  public boolean canConnect(long now, HostId host) {
    return connectBackoff.isAttemptAllowed(host, now);
  }

  /** What the decisions decide passes through; shots are kept in mind. */
  private final class ObservedActions implements PolicyActions {
    @Override
    public void send(RequestId requestId, HostId host, long timeOut, long beginWithin) {
      TrackedRequest tracked = trackedRequests.get(requestId);
      if (tracked != null) {
        tracked.attemptsInFlight++;
      }
      actions.send(requestId, host, timeOut, beginWithin);
    }

    @Override
    public void cancel(RequestId requestId, int attempt) {
      actions.cancel(requestId, attempt);
    }

    @Override
    public void reject(RequestId requestId, long retryAfter) {
      recordUnanswered(lastEventAt, requestId);
      actions.reject(requestId, retryAfter);
    }

    @Override
    public void fail(RequestId requestId) {
      recordUnanswered(lastEventAt, requestId);
      actions.fail(requestId);
    }

    @Override
    public void probe(HostId host) {
      actions.probe(host);
    }

    @Override
    public void wakeAt(long at) {
      actions.wakeAt(at);
    }

    @Override
    public void subscribeToEndpoints() {
      actions.subscribeToEndpoints();
    }

    @Override
    public void log(String line) {
      actions.log(line);
    }
  }
}
