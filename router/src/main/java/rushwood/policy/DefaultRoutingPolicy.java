package rushwood.policy;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.api.OverloadSignals;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestClass.Consistency;
import rushwood.api.RequestClass.Idempotency;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;
import rushwood.api.RoutingSettings;
import rushwood.api.SessionId;
import rushwood.policy.HostState.Health;

/**
 * Every decision of one router. A caller makes one with the settings, a source of chance and an
 * Outlet, then calls the methods of rushwood.api.Decisions, which defines the interface, in the
 * order of events; what is decided is done through the Outlet before the call returns. It has no
 * clock: it asks to be woken.
 */
public final class DefaultRoutingPolicy implements RoutingPolicy {
  private static final long MS = 1_000_000L;

  private static final long CHECK_INTERVAL =
      100 * MS; // between looks at the parked: the design's figure

  /** What a stage says of an access: on to the next, kept for later, or done with. */
  private enum StageResult {
    CONTINUE,
    WAIT,
    FINISH
  }

  /** A stage of the chain; what comes back runs through the chain in reverse. */
  private interface Stage {
    StageResult onRequest(PendingRequest pending, long now);

    void onResult(Attempt attempt, AttemptResult result, long now);
  }

  private final RoutingSettings settings;
  private final RandomGenerator random;
  private final PolicyActions actions;
  private final OverloadSignals overloadSignals;
  private final Stage freshnessStage = new FreshnessStage();
  private final Stage sendingStage = new SendingStage();
  private final List<Stage> stages =
      List.of(
          new DeadlineStage(),
          new RetryStage(),
          freshnessStage,
          new SelectionStage(),
          sendingStage);
  private final Map<HostId, HostState> hosts = new LinkedHashMap<>();
  private final Map<GroupId, GroupState> groups =
      new TreeMap<>(Comparator.comparing(GroupId::value));
  private final Map<RequestId, PendingRequest> pendingRequests = new LinkedHashMap<>();
  private final SessionWrites sessionWrites = new SessionWrites(MAX_REMEMBERED_SESSIONS);
  private final DeadlineQueue deadlines;
  private final double[] expectedServiceTime;
  private final long smallestStalenessBound;
  private final double minConcurrencyLimit;
  private final long deadlineMargin;
  private long nextTickAt;
  private long shutdownAt = Long.MAX_VALUE;
  private long resubscribeAt = Long.MAX_VALUE;
  private long resubscribeDelay;
  private double probeBudget;
  private double lossRatio;

  private static final double INITIAL_SERVICE_TIME_SHARE =
      0.25; // of the quoted time, until answers tell: a guess
  private static final int MAX_REMEMBERED_SESSIONS =
      50_000; // remembered: some megabytes, replicas are past older ones
  private static final double MIN_SLOTS_OF_ALL_ROUTERS =
      6; // all routers' least at a host: keeps some cores at work

  public DefaultRoutingPolicy(
      RoutingSettings settings, RandomGenerator random, PolicyActions actions) {
    this(settings, random, actions, OverloadSignals.withoutOverloadControl(settings));
  }

  /** With what is known of crowds. */
  public DefaultRoutingPolicy(
      RoutingSettings settings,
      RandomGenerator random,
      PolicyActions actions,
      OverloadSignals overloadSignals) {
    this.settings = settings;
    this.overloadSignals = overloadSignals;
    this.random = random;
    this.actions = actions;
    deadlines = new DeadlineQueue(actions);
    expectedServiceTime =
        settings.requestClasses().stream()
            .mapToDouble(
                requestClass -> requestClass.latencyObjectiveNanos() * INITIAL_SERVICE_TIME_SHARE)
            .toArray();
    smallestStalenessBound =
        settings.requestClasses().stream()
            .filter(requestClass -> requestClass.consistency() == Consistency.BOUNDED_STALENESS)
            .mapToLong(requestClass -> requestClass.maxStalenessNanos())
            .min()
            .orElse(5 * CHECK_INTERVAL); // a guess, where no product bounds it
    double fairShare = MIN_SLOTS_OF_ALL_ROUTERS / Math.max(1, settings.routerCount());
    minConcurrencyLimit = fairShare < 1 ? fairShare : Math.floor(fairShare);
    deadlineMargin = 2 * settings.clockResolutionNanos();
  }

  private double expectedServiceTime(PendingRequest pending) {
    return expectedServiceTime[pending.requestClass.index()];
  }

  // ---- the list of hosts

  @Override
  public void endpointsReplaced(long now, List<Endpoint> endpoints, boolean remembered) {
    List<HostId> listedIds = endpoints.stream().map(Endpoint::id).toList();
    if (settings.isRemovalBinding()) {
      hosts.values().stream()
          .filter(host -> !listedIds.contains(host.id))
          .forEach(HostState::leaveGroup);
    }
    endpointsUpdated(now, endpoints);
    if (remembered) {
      nextTickAt = now;
      deadlines.requestTimer(now + settings.clockResolutionNanos());
      if (settings.subscribesToEndpoints()) {
        actions.subscribeToEndpoints();
      }
    }
  }

  /**
   * Nothing new goes to a host from the moment that it is said to drain or be gone, inside any
   * grace.
   */
  @Override
  public void endpointsUpdated(long now, List<Endpoint> changes) {
    resubscribeDelay = 0;
    for (Endpoint endpoint : changes) {
      HostState host =
          hosts.computeIfAbsent(endpoint.id(), id -> new HostState(id, 2 * minConcurrencyLimit));
      if (endpoint.state() == Endpoint.State.REMOVED && !settings.isRemovalBinding()) {
        continue; // such a list does not prove what is up: health decides
      }
      host.endpoint = endpoint;
      if (endpoint.state() != Endpoint.State.READY) {
        host.leaveGroup();
        continue;
      }
      GroupState group = group(endpoint.group());
      group.add(host);
      if (endpoint.startedAt() > host.startedAt) { // what was learned of the process before is void
        host.reset(endpoint.startedAt());
      }
      // The list is seconds late: it only fills in where nothing better is known.
      if (endpoint.primary() && group.primary == null && host.roleKnownAt == HostState.NEVER) {
        group.primary = host;
      }
    }
    groups.values().forEach(group -> group.members.forEach(host -> dispatchWaiting(host, now)));
  }

  private GroupState group(GroupId id) {
    return groups.computeIfAbsent(id, each -> new GroupState());
  }

  /** Asks again with growing, jittered waits, so that routers that failed together part. */
  @Override
  public void endpointRefreshFailed(long now) {
    resubscribeDelay =
        Math.min(
            Math.max(2 * resubscribeDelay, 2 * CHECK_INTERVAL), settings.refreshWithinNanos() / 4);
    resubscribeAt = now + resubscribeDelay / 2 + random.nextLong(resubscribeDelay);
    deadlines.requestTimer(resubscribeAt);
  }

  // ---- accesses

  @Override
  public void requestReceived(long now, Request request) {
    PendingRequest pending = new PendingRequest(request, group(request.group()), now);
    pendingRequests.put(request.id(), pending);
    probeBudget = Math.min(MAX_PROBE_BUDGET, probeBudget + PROBES_PER_REQUEST);
    deadlines.add(queueDeadline(pending), pending);
    process(pending, now);
  }

  private void process(PendingRequest pending, long now) {
    for (Stage stage : stages) {
      StageResult result = stage.onRequest(pending, now);
      if (result == StageResult.FINISH) {
        rejectOrFail(pending, now);
      }
      if (result != StageResult.CONTINUE) {
        return;
      }
    }
  }

  @Override
  public void attemptFinished(long now, AttemptResult result) {
    PendingRequest pending = pendingRequests.get(result.request());
    if (pending == null
        || result.attemptNumber() < 0
        || result.attemptNumber() >= pending.attempts.size()) {
      throw new IllegalArgumentException(
          "unknown shot " + result.attemptNumber() + " of " + result.request());
    }
    Attempt attempt = pending.attempts.get(result.attemptNumber());
    for (int i = stages.size() - 1; i >= 0; i--) {
      stages.get(i).onResult(attempt, result, now);
    }
    dispatchWaiting(attempt.host, now);
    if (!pending.finished && !pending.queued && pending.activeAttempt() == null) {
      process(pending, now);
    }
    forgetIfDone(pending);
  }

  @Override
  public void clientDisconnected(long now, RequestId requestId) {
    PendingRequest pending = pendingRequests.get(requestId);
    if (pending != null && !pending.finished) {
      cancelAttempt(pending);
      pending.finish();
      forgetIfDone(pending);
    }
  }

  /**
   * The one final answer: a turn-back only where trying again is harmless, else a promise of
   * nothing.
   */
  private void rejectOrFail(PendingRequest pending, long now) {
    cancelAttempt(pending);
    pending.finish();
    if (pending.requestClass.idempotency() == Idempotency.IDEMPOTENT
        || pending.firstPossiblyExecuted() == null) {
      // While others wait here a quick retry only lengthens the line: it is asked to stay away.
      actions.reject(
          pending.request.id(),
          overloadSignals.retryAfterNanos(
              now, pending.request, !pending.group.firstAttempts.isEmpty()));
    } else {
      actions.fail(pending.request.id());
    }
    forgetIfDone(pending);
  }

  @Override
  public void shuttingDown(long now, long deadline) {
    shutdownAt = deadline;
    pendingRequests.values().forEach(pending -> deadlines.add(queueDeadline(pending), pending));
  }

  private void cancelAttempt(PendingRequest pending) {
    Attempt attempt = pending.activeAttempt();
    if (attempt != null && !attempt.cancelled && settings.canCancel()) {
      attempt.cancelled = true;
      actions.cancel(pending.request.id(), attempt.number);
    }
  }

  private void forgetIfDone(PendingRequest pending) {
    if (pending.finished && pending.activeAttempt() == null) {
      pendingRequests.remove(pending.request.id());
    }
  }

  // ---- stage: the limits of time

  private final class DeadlineStage implements Stage {
    @Override
    public StageResult onRequest(PendingRequest pending, long now) {
      return now >= queueDeadline(pending) ? StageResult.FINISH : StageResult.CONTINUE;
    }

    @Override
    public void onResult(Attempt attempt, AttemptResult result, long now) {
      if (result.requestFinished() && !attempt.pending.finished) {
        attempt.pending.finish();
      }
    }
  }

  // An access that no host has had and that earns nothing late goes back at half of its time: hope
  // is small
  // by then, and its client can still ask again. Harm: a slot a moment later. Others end at their
  // limit.
  private long queueDeadline(PendingRequest pending) {
    boolean halved = pending.attempts.isEmpty() && pending.requestClass.lateValue() == 0;
    long deadline =
        pending.request.deadline()
            - (halved ? (pending.request.deadline() - pending.arrivedAt) / 2 : 0);
    return Math.min(deadline, shutdownAt) - deadlineMargin;
  }

  // ---- stage: what may happen twice

  private final class RetryStage implements Stage {
    @Override
    public StageResult onRequest(PendingRequest pending, long now) {
      boolean allowed =
          pending.attempts.size() < settings.maxAttempts()
              && pending.errorCount() < MAX_ERRORS
              && (!pending.isRetryCostly()
                  || overloadSignals.canRetry(now, pending.request.group()));
      return allowed && canRetry(pending, null, now) ? StageResult.CONTINUE : StageResult.FINISH;
    }

    @Override
    public void onResult(Attempt attempt, AttemptResult result, long now) {
      attempt.outcome = result.outcome();
    }
  }

  private static final List<AttemptOutcome> FAULTY_OUTCOMES =
      List.of(
          AttemptOutcome.ERROR,
          AttemptOutcome.MALFORMED,
          AttemptOutcome.CONNECTION_LOST,
          AttemptOutcome.NOT_SENT); // another host may do better
  private static final int MAX_ERRORS =
      2; // by two hosts: then it is the access that is bad, not a host

  /** Whether a further shot breaks no promise; with a host, whether it may go there. */
  private boolean canRetry(PendingRequest pending, HostState candidate, long now) {
    Attempt executed = pending.firstPossiblyExecuted();
    if (executed == null || pending.requestClass.idempotency() == Idempotency.IDEMPOTENT) {
      return true;
    }
    if (pending.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT
        || now >= retryDeadline(pending)) {
      return false;
    }
    return candidate == null
        || pending.requestClass.keyScope().isShared(executed.host.endpoint, candidate.endpoint);
  }

  /**
   * Until when a further shot may begin: a connection that comes up late must not carry it past
   * that.
   */
  private long retryDeadline(PendingRequest pending) {
    Attempt executed =
        pending.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
            ? pending.firstPossiblyExecuted()
            : null;
    return executed == null
        ? Long.MAX_VALUE
        : executed.sentAt
            + (long) (pending.requestClass.idempotencyWindowNanos() * IDEMPOTENCY_WINDOW_SHARE);
  }

  private static final double IDEMPOTENCY_WINDOW_SHARE =
      0.9; // of a label's window: the rest is for the way to the host

  // ---- stage: how fresh the data must be

  private final class FreshnessStage implements Stage {
    @Override
    public StageResult onRequest(PendingRequest pending, long now) {
      pending.requiredPosition =
          switch (pending.requestClass.consistency()) {
            case EVENTUAL -> HostState.NEVER;
            case STRONG -> pending.arrivedAt;
            case BOUNDED_STALENESS -> now - pending.requestClass.maxStalenessNanos();
            case READ_YOUR_WRITES ->
                settings.tracksSessionWrites()
                    ? sessionWrites.lastCommit(pending.request.session())
                    : pending.request.sinceLastWriteNanos() == 0
                        ? HostState.NEVER
                        : pending.arrivedAt - pending.request.sinceLastWriteNanos() + MS;
          };
      return StageResult.CONTINUE;
    }

    @Override
    public void onResult(Attempt attempt, AttemptResult result, long now) {
      HostState host = attempt.host;
      SessionId session = attempt.pending.request.session();
      boolean write = attempt.pending.isWrite();
      if (write && result.outcome() == AttemptOutcome.SUCCESS) {
        if (session != null && settings.tracksSessionWrites()) {
          sessionWrites.recordCommit(session, result.hasPosition() ? result.position() : now);
        }
      } else if (result.hasPosition()) {
        host.recordPosition(result.position(), now);
      }
      if (result.role().isKnown()) {
        applyRole(host, result.role() == HostRole.PRIMARY, now);
      }
      applyLoadReport(host, result.report(), now);
      boolean behind = result.outcome() == AttemptOutcome.REPLICA_LAGGING;
      if (behind || FAULTY_OUTCOMES.contains(result.outcome())) {
        attempt.pending.avoidedHosts.add(host);
      }
      if (behind && write) {
        host.writeRefusedAt = now;
        applyRole(host, false, now);
      } else if (behind) {
        host.laggingAt = now;
      }
    }
  }

  /**
   * A primary stands at the present, so the position in its report is the report's own time:
   * reports that arrive late cannot bring back a primary that a later answer has unseated.
   */
  private void applyLoadReport(HostState host, LoadReport report, long now) {
    long position = (long) report.position();
    if (report.hasPosition() && position <= now) {
      host.recordPosition(position, now);
      if (report.role().isKnown() && position > host.roleKnownAt) {
        applyRole(host, report.role() == HostRole.PRIMARY, position);
      }
    }
  }

  /**
   * A stuck host has no role until a read there was answered; one that turns writes away hands
   * over.
   */
  private void applyRole(HostState host, boolean primary, long evidenceAt) {
    GroupState group = host.group;
    if (group == null
        || primary
            && (evidenceAt < host.writeRefusedAt + CHECK_INTERVAL
                || host.health == Health.UNRESPONSIVE)) {
      return;
    }
    host.roleKnownAt = Math.max(host.roleKnownAt, evidenceAt);
    if (!primary) {
      group.clearPrimary(host);
    } else if (group.primary != host
        && (group.primary == null || evidenceAt > group.primary.roleKnownAt)) {
      actions.log("primary is " + host.id);
      group.primary = host;
    }
  }

  // ---- stage: which host

  private final class SelectionStage implements Stage {
    @Override
    public StageResult onRequest(PendingRequest pending, long now) {
      pending.selectedHost =
          pending.isWrite() ? selectForWrite(pending, now) : selectForRead(pending, now);
      if (pending.selectedHost == null) {
        pending.enqueue();
      }
      return pending.selectedHost == null ? StageResult.WAIT : StageResult.CONTINUE;
    }

    @Override
    public void onResult(Attempt attempt, AttemptResult result, long now) {
      attempt.host.removeAttempt(attempt);
      attempt.pending.group.endPrimaryDiscovery(attempt.pending);
    }
  }

  private static final int FRESH = 0; // how well a host fits a read: known to meet the target
  private static final int LIKELY_FRESH =
      1; // it met the target if it is no further behind than when last heard
  private static final int LAGGING = 2; // it may be too far behind, and says so itself
  private static final int PRIMARY_FALLBACK =
      3; // the primary, for reads that a replica could answer
  private static final int UNSUITABLE = 4;

  private int suitability(PendingRequest pending, HostState host, long now) {
    if (!isUsable(host, now) || pending.avoidedHosts.contains(host)) {
      return UNSUITABLE;
    }
    if (isLongRead(pending)) {
      return takesLongReads(host, now)
          ? FRESH
          : host.group.primary == host ? PRIMARY_FALLBACK : UNSUITABLE;
    }
    if (host.group.primary == host) {
      return pending.requires(Consistency.STRONG) ? FRESH : PRIMARY_FALLBACK;
    }
    if (host.position >= pending.requiredPosition) {
      return FRESH;
    }
    // Half of what it is behind, two seconds at the most: a guess; it catches up as fast as it
    // applies.
    long catchUpTime =
        Math.max(
            CHECK_INTERVAL,
            Math.min(20 * CHECK_INTERVAL, (pending.requiredPosition - host.position) / 2));
    boolean refused = host.laggingAt > now - catchUpTime;
    boolean answersStale =
        settings.laggingReadBehavior() == RoutingSettings.LaggingReadBehavior.SERVES;
    if (answersStale || refused || pending.requires(Consistency.STRONG)) {
      return UNSUITABLE;
    }
    return host.position + (now - host.positionHeardAt) >= pending.requiredPosition
        ? LIKELY_FRESH
        : LAGGING;
  }

  /** The worst fit that a read takes, if any: only for replicas known to be fresh does it wait. */
  private int worstAccepted(PendingRequest pending, long now) {
    int best = UNSUITABLE;
    for (HostState host : pending.group.members) {
      best = Math.min(best, suitability(pending, host, now));
    }
    return best == UNSUITABLE ? FRESH - 1 : best == FRESH ? LIKELY_FRESH : Math.max(best, LAGGING);
  }

  /**
   * A read that any member may answer and that lasts longer than the lag that other reads are
   * allowed.
   */
  private boolean isLongRead(PendingRequest pending) {
    return pending.requires(Consistency.EVENTUAL)
        && expectedServiceTime(pending) > smallestStalenessBound;
  }

  // Long reads may keep a replica from applying its log. All routers give them to the same few
  // replicas,
  // the first in id order, so that the others stay fresh; after patience the primary, which applies
  // no log,
  // takes some. Harm: those few replicas do little else.
  private boolean takesLongReads(HostState host, long now) {
    List<HostState> usableReplicas =
        host.group.replicas().stream().filter(each -> isUsable(each, now)).toList();
    return usableReplicas.stream()
        .limit(Math.max(1, usableReplicas.size() / 3))
        .anyMatch(each -> each == host);
  }

  /**
   * Two draws by weight decide if both are free and known or likely to be fresh; else all are
   * compared.
   */
  private HostState selectForRead(PendingRequest pending, long now) {
    List<HostState> replicas = pending.group.replicas();
    if (replicas.size() > 2 && !isLongRead(pending)) {
      HostState first = GroupState.drawByWeight(replicas, random);
      HostState second = GroupState.drawByWeight(replicas, random);
      boolean fresh =
          Math.max(suitability(pending, first, now), suitability(pending, second, now))
              <= LIKELY_FRESH;
      if (fresh && hasFreeSlot(pending, first, now) && hasFreeSlot(pending, second, now)) {
        return isBetter(pending, second, first, now) ? second : first;
      }
    }
    int worstAccepted = worstAccepted(pending, now);
    if (worstAccepted != LIKELY_FRESH && settings.hasLoadReports()) {
      probeLeastRecentlyHeard(pending.group, now);
    }
    HostState selected = null;
    List<HostState> members = pending.group.members;
    int start = isLongRead(pending) || members.isEmpty() ? 0 : random.nextInt(members.size());
    for (int i = 0; i < members.size(); i++) {
      HostState host = members.get((start + i) % members.size());
      boolean fits =
          suitability(pending, host, now) <= worstAccepted && hasFreeSlot(pending, host, now);
      if (fits
          && (selected == null || !isLongRead(pending) && isBetter(pending, host, selected, now))) {
        selected = host;
      }
    }
    return selected;
  }

  /**
   * Replicas known to meet the target come first, then those with less in flight for their weight.
   */
  private boolean isBetter(PendingRequest pending, HostState first, HostState second, long now) {
    int difference = suitability(pending, first, now) - suitability(pending, second, now);
    return difference < 0 || difference == 0 && first.load() < second.load();
  }

  /**
   * A read found no replica known to be fresh: the one unheard for longest is asked, if past the
   * bound.
   */
  private void probeLeastRecentlyHeard(GroupState group, long now) {
    // Probes are few, and a host that is down comes back by nothing else: half of them are left for
    // it.
    // Where answers told no position, reads took every probe and such a host stayed away for good.
    if (random.nextBoolean() && group.members.stream().anyMatch(host -> isProbeDue(host, now))) {
      return;
    }
    group.replicas().stream()
        .filter(host -> host.health != Health.UNREACHABLE && !host.probeInFlight)
        .min(Comparator.comparingLong(host -> host.positionHeardAt))
        .filter(host -> host.positionHeardAt < now - smallestStalenessBound)
        .ifPresent(this::probe);
  }

  /**
   * To the last known primary; where none is known, one write at a time asks the unheard in id
   * order.
   */
  private HostState selectForWrite(PendingRequest pending, long now) {
    GroupState group = pending.group;
    HostState primary = group.primary;
    if (primary != null && isUsable(primary, now)) {
      return hasFreeSlot(pending, primary, now) ? primary : null;
    }
    int maxAttempts = Math.min(group.members.size(), settings.maxAttempts() / 2);
    if (group.primaryDiscovery != null || pending.attempts.size() >= maxAttempts) {
      return null;
    }
    for (HostState host : group.members) {
      boolean isCandidate =
          host != primary
              && host.roleKnownAt < now - ROLE_VALIDITY
              && !pending.avoidedHosts.contains(host);
      if (isCandidate && isUsable(host, now) && hasFreeSlot(pending, host, now)) {
        group.primaryDiscovery = pending;
        return host;
      }
    }
    return null;
  }

  private static final long ROLE_VALIDITY =
      3 * CHECK_INTERVAL; // how long word of a role holds while no primary is known

  /** Well, or all of its group are not: a verdict on health never empties a group. */
  private boolean isUsable(HostState host, long now) {
    return host.health == Health.HEALTHY
        || isTrialDue(host, now)
        || host.group.hasNoHealthyMember()
            && (host.health != Health.UNREACHABLE || overloadSignals.canConnect(now, host.id));
  }

  /** A stuck host may answer probes, so only a shot can tell that it is well: one, now and then. */
  private boolean isTrialDue(HostState host, long now) {
    return host.health == Health.UNRESPONSIVE && now >= host.nextTrialAt && probeBudget >= 1;
  }

  /**
   * Whether a slot is free for that access, within the cap, the cold budget and the promises made.
   */
  private boolean hasFreeSlot(PendingRequest pending, HostState host, long now) {
    if (isTrialDue(host, now)) {
      return pending.requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }
    boolean readOnPrimary = host.group.primary == host && !pending.isWrite();
    double limit = effectiveLimit(host, now) * (readOnPrimary ? PRIMARY_READ_SHARE : 1);
    return host.occupiedSlots() < limit
        && canRetry(pending, host, now)
        && hasSlowStartTokens(pending, host, now);
  }

  private static final double PRIMARY_READ_SHARE = 0.5; // of its slots: writes can go nowhere else

  private double effectiveLimit(HostState host, long now) {
    if (now < host.pausedUntil) {
      return 0;
    }
    double share = Math.max(Math.min(1, 1 / host.concurrencyLimit), slowStartShare(host, now));
    return host.health != Health.HEALTHY ? 1 : host.concurrencyLimit * share;
  }

  /** The share of its capacity that a host that started lately has at the least. */
  private double slowStartProgress(HostState host, long now) {
    double age = (double) (now - host.startedAt) / settings.warmupNanos();
    double initialShare = settings.coldStartShare();
    return host.startedAt == 0 || age >= 1
        ? 1
        : initialShare + (1 - initialShare) * Math.max(0, age);
  }

  /**
   * The share of a warm host's work that a host may get: part of the multiple that would tip it.
   */
  private double slowStartShare(HostState host, long now) {
    double safeShare =
        minConcurrencyLimit < 1 ? OVERLOAD_MULTIPLE_SHARE_SHARED_SLOTS : OVERLOAD_MULTIPLE_SHARE;
    return Math.min(1, slowStartProgress(host, now) * settings.collapseMultiple() * safeShare);
  }

  private static final double OVERLOAD_MULTIPLE_SHARE =
      0.5; // half is left for chance and for routers that know less
  private static final double OVERLOAD_MULTIPLE_SHARE_SHARED_SLOTS =
      0.35; // dozens of routers shoot in no order: more chance

  /**
   * A cold host gets, from each router, no more than its share of what that router's warm hosts get
   * through (with none warm, of its slots): all routers together then stay well under what would
   * tip it.
   */
  private boolean hasSlowStartTokens(PendingRequest pending, HostState host, long now) {
    if (slowStartProgress(host, now) == 1) {
      return true;
    }
    double warmWorkRate = 0;
    double warmWeight = 0;
    for (HostState other : hosts.values()) {
      if (other.group != null
          && other.health == Health.HEALTHY
          && slowStartProgress(other, now) == 1) {
        warmWorkRate += other.completedWorkRate;
        warmWeight += other.endpoint.weight();
      }
    }
    double rate =
        slowStartShare(host, now)
            * (warmWeight > 0
                ? host.endpoint.weight() * warmWorkRate / warmWeight
                : host.concurrencyLimit);
    double burst =
        Math.max(expectedServiceTime(pending), rate * settings.collapseWindowNanos() * BURST_SHARE);
    if (host.slowStartTokensAt
        < host.startedAt) { // each router starts somewhere else: no wave of first shots
      host.slowStartTokens = random.nextDouble() * burst;
      host.slowStartTokensAt = now;
    }
    host.slowStartTokens =
        Math.min(burst, host.slowStartTokens + rate * (now - host.slowStartTokensAt));
    host.slowStartTokensAt = now;
    return host.slowStartTokens >= expectedServiceTime(pending);
  }

  private static final double BURST_SHARE =
      0.25; // of a window's allowance may be saved up: early bursts count

  // ---- stage: sending, and what an answer says of the host

  private final class SendingStage implements Stage {
    @Override
    public StageResult onRequest(PendingRequest pending, long now) {
      pending.dequeue();
      HostState host = pending.selectedHost;
      if (isTrialDue(host, now)) {
        probeBudget--;
        host.nextTrialAt = now + TRIAL_INTERVAL;
      }
      overloadSignals.attemptSent(now, pending.request.group(), pending.isRetryCostly());
      long retryDeadline = retryDeadline(pending);
      Attempt attempt =
          new Attempt(pending, host, now, random.nextInt(CONTROL_SAMPLE_INTERVAL) == 0);
      pending.attempts.add(attempt);
      host.inFlight.add(attempt);
      host.slowStartTokens -= expectedServiceTime(pending);
      long timeout = pending.request.deadline() - deadlineMargin - now;
      actions.send(pending.request.id(), host.id, timeout, Math.min(timeout, retryDeadline - now));
      return StageResult.WAIT;
    }

    @Override
    public void onResult(Attempt attempt, AttemptResult result, long now) {
      HostState host = attempt.host;
      double latencyRatio = result.durationNanos() / attempt.pending.objectiveTime();
      switch (result.outcome()) {
        case SUCCESS -> {
          expectedServiceTime[attempt.pending.requestClass.index()] +=
              (result.durationNanos() - expectedServiceTime(attempt.pending))
                  * SERVICE_TIME_SMOOTHING;
          host.completedWork += expectedServiceTime(attempt.pending);
          lossRatio -= lossRatio * LOSS_RATIO_SMOOTHING / 20; // a sure loss weighs twenty answers
          host.inFlight.forEach(each -> each.overtakenBy += each.sentAt < attempt.sentAt ? 1 : 0);
          abandonAttempts(host, now);
          adjustLimit(host, latencyRatio, now);
          // What one host answers with an error and the next fulfils was the first host's fault.
          attempt.pending.attempts.stream()
              .filter(each -> each.outcome == AttemptOutcome.ERROR)
              .forEach(each -> each.host.pausedUntil = now + REFUSAL_PAUSE);
        }
        case OVERLOADED -> {
          adjustLimit(host, 1, now);
          host.pausedUntil = now + REFUSAL_PAUSE;
        }
        case CONNECT_FAILED ->
            eject(host, host.hasAnsweredSince(attempt) ? host.health : Health.UNREACHABLE, now);
        case TIMED_OUT -> {
          if (!attempt.presumedLost) {
            adjustLimit(host, Math.max(1, latencyRatio), now);
          }
        }
        case CONNECTION_LOST ->
            eject(host, host.inFlight.size() > 1 ? host.health : Health.UNREACHABLE, now); // last
        case CANCELLED, ERROR, REPLICA_LAGGING, MALFORMED, NOT_SENT -> {}
      }
      host.lastAnswerAt = result.outcome().isHostResponse() ? now : host.lastAnswerAt;
      if (host.lastAnswerAt == now && host.health == Health.UNRESPONSIVE) {
        markHealthy(host, now);
      }
      // A cap below one is a slot that rests between shots; in good time, idle time was rest.
      double workTime =
          Math.min(
              result.durationNanos(), LATE_ATTEMPT_MULTIPLE * expectedServiceTime(attempt.pending));
      long pauseStart =
          Math.max(
              host.pausedUntil,
              now - (host.latencyRatio > TARGET_LATENCY_RATIO ? 0 : MAX_IDLE_CREDIT));
      host.pausedUntil =
          pauseStart + (long) (workTime * Math.max(0, 1 / host.concurrencyLimit - 1));
    }
  }

  private static final int CONTROL_SAMPLE_INTERVAL =
      4; // one shot in so many stays to be surely lost: its answer tells
  private static final long MAX_IDLE_CREDIT = 3000 * MS; // idle time: sessions come in bursts
  private static final long REFUSAL_PAUSE =
      CHECK_INTERVAL / 2; // of a host that refuses or errs: an unlisted drain
  private static final double SERVICE_TIME_SMOOTHING =
      0.02; // weight of a new answer in the usual time: fifty back

  /**
   * The cap creeps up while answers are quick and slots short, down while they are slow or do not
   * come.
   */
  private void adjustLimit(HostState host, double latencyRatio, long now) {
    double weight =
        Math.max(LATENCY_RATIO_SMOOTHING, Math.min(1, (now - host.lastAnswerAt) / FULL_WEIGHT_GAP));
    double step = Math.min(1 / host.concurrencyLimit, host.concurrencyLimit * MAX_RELATIVE_STEP);
    host.latencyRatio += (latencyRatio - host.latencyRatio) * weight;
    if (host.latencyRatio > TARGET_LATENCY_RATIO) {
      host.concurrencyLimit = Math.max(minConcurrencyLimit, host.concurrencyLimit - step);
    } else if (latencyRatio <= TARGET_LATENCY_RATIO
        && host.inFlight.size() + 1 >= host.concurrencyLimit) {
      host.concurrencyLimit += step;
    }
  }

  private static final double MAX_RELATIVE_STEP =
      0.25; // of a cap below two, up or down: routers may share a slot
  private static final double FULL_WEIGHT_GAP = 2000 * MS; // answers this far apart count in full

  private static final double LATENCY_RATIO_SMOOTHING =
      0.1; // weight of one answer in a host's lateness: ten back
  private static final double TARGET_LATENCY_RATIO =
      0.35; // of the time of use may pass in the host, the rest parked

  // ---- the health of hosts

  /** A host that was down for more than a moment comes back cold, whatever the list says yet. */
  private void markHealthy(HostState host, long now) {
    actions.log(host.id + " is healthy again");
    if (host.health == Health.UNREACHABLE && now - host.ejectedAt > 2 * TRIAL_INTERVAL) {
      host.reset(now);
    }
    host.health = Health.HEALTHY;
  }

  /** A host that is down or stuck loses its role and gets nothing but trials. */
  private void eject(HostState host, Health health, long now) {
    if (host.group == null || host.health == Health.UNREACHABLE || host.health == health) {
      return;
    }
    actions.log(host.id + " is " + health);
    host.health = health;
    host.ejectedAt = now;
    host.nextTrialAt =
        now
            + (health == Health.UNREACHABLE
                ? CHECK_INTERVAL
                : TRIAL_INTERVAL); // a probe may be lost too
    probe(host);
    host.group.clearPrimary(host);
    abandonAttempts(host, now);
  }

  private static final long TRIAL_INTERVAL =
      5 * CHECK_INTERVAL; // short, to have hosts back soon: the budget limits

  /**
   * Calls off what waits long for a stuck host, and what answers to later shots there have
   * overtaken. After three times what is out there its answer is lost: it holds no slot and does
   * not count as a slow one; while that happens few are enough. Merely slow hosts overtake little;
   * harm: long work among short.
   */
  private void abandonAttempts(HostState host, long now) {
    int certainLoss = CERTAIN_LOSS_MULTIPLE * host.inFlight.size();
    int probableLoss = lossRatio > HIGH_LOSS_RATIO ? PROBABLE_LOSS_COUNT : certainLoss;
    for (Attempt attempt : host.inFlight) {
      boolean isLate =
          now - attempt.sentAt > LATE_ATTEMPT_MULTIPLE * expectedServiceTime(attempt.pending);
      if (isLate
          && !attempt.presumedLost
          && attempt.overtakenBy >= (attempt.control ? certainLoss : probableLoss)) {
        lossRatio +=
            attempt.overtakenBy >= certainLoss ? (1 - lossRatio) * LOSS_RATIO_SMOOTHING : 0;
        host.presumeLost(attempt);
      }
      boolean canRetryInTime =
          now + expectedServiceTime(attempt.pending) < attempt.pending.objectiveDeadline;
      boolean isHopeless =
          attempt.presumedLost && canRetryInTime || isLate && host.health == Health.UNRESPONSIVE;
      if (isHopeless
          && !attempt.pending.finished
          && attempt.pending.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT) {
        cancelAttempt(attempt.pending);
      }
    }
  }

  private static final int CERTAIN_LOSS_MULTIPLE =
      3; // times what is out: three of its mean times went by meanwhile
  private static final int PROBABLE_LOSS_COUNT =
      3; // enough while answers are lost: one or two are chance
  private static final double LOSS_RATIO_SMOOTHING =
      0.05; // weight of a sure loss in the share of losses
  private static final double HIGH_LOSS_RATIO =
      0.2; // that share from which few are enough: far above chance

  /**
   * Probes and trials together stay a share of this router's accesses: hundreds of routers that
   * each probe all hosts cost more than they learn, and are turned away by the dozen. Whether it
   * was sent.
   */
  private boolean probe(HostState host) {
    if (!settings.canProbe() || host.probeInFlight || probeBudget < 1) {
      return false;
    }
    probeBudget--;
    host.probeInFlight = true;
    actions.probe(host.id);
    return true;
  }

  private static final double PROBES_PER_REQUEST =
      0.1; // probes and trials an access: a small share of any price
  private static final int MAX_PROBE_BUDGET =
      10; // saved up: about a group and its hosts' first trials

  @Override
  public void probeFinished(long now, HostId id, boolean answered, LoadReport report) {
    HostState host = hosts.get(id);
    host.probeInFlight = false;
    if (answered && host.health == Health.UNREACHABLE) {
      markHealthy(host, now);
    }
    // No answer proves nothing: hosts turn probes away when many routers ask.
    applyLoadReport(host, report, now);
    dispatchWaiting(host, now);
  }

  private void checkHealth(HostState host, long now) {
    host.completedWorkRate +=
        (host.completedWork / CHECK_INTERVAL - host.completedWorkRate) * WORK_RATE_SMOOTHING;
    host.completedWork = 0;
    abandonAttempts(host, now);
    if (host.health == Health.HEALTHY && missingAnswers(host, now) > MAX_MISSING_ANSWERS) {
      eject(host, Health.UNRESPONSIVE, now);
    } else if (isProbeDue(host, now) && probe(host)) {
      host.nextTrialAt = now + TRIAL_INTERVAL;
    }
    if (host.group.primary == null
        && !host.group.firstAttempts.isEmpty()
        && host.health != Health.UNREACHABLE) {
      probe(host);
    }
  }

  /** Down, and long enough since it was last asked whether it is up again. */
  private static boolean isProbeDue(HostState host, long now) {
    return host.health == Health.UNREACHABLE && now >= host.nextTrialAt;
  }

  private static final double WORK_RATE_SMOOTHING =
      0.05; // weight of one tick in the work done: two seconds back

  /**
   * How many answers a host should have given since its last one, by the usual times of what it
   * holds: a guard against hosts that take shots and answer none, whatever the cause. A host that
   * answers anything is not stuck, and when all grow slower together the usual times grow too.
   */
  private double missingAnswers(HostState host, long now) {
    return host.inFlight.stream()
        .filter(attempt -> !attempt.presumedLost)
        .mapToDouble(
            attempt ->
                (now - Math.max(host.lastAnswerAt, attempt.sentAt))
                    / expectedServiceTime(attempt.pending))
        .sum();
  }

  private static final double MAX_MISSING_ANSWERS =
      12; // missed: a chance of one in 100,000 at exponential times
  private static final double LATE_ATTEMPT_MULTIPLE =
      3; // usual times one shot must wait: a short pause is no verdict

  // ---- the parked

  /** Hands a host's free slots to the parked that it may serve, first shots before further ones. */
  private void dispatchWaiting(HostState host, long now) {
    if (host.group == null) {
      return;
    }
    for (List<PendingRequest> queue : List.of(host.group.firstAttempts, host.group.retries)) {
      for (PendingRequest pending = nextWaiting(queue, host, now);
          pending != null;
          pending = nextWaiting(queue, host, now)) {
        pending.selectedHost = host;
        sendingStage.onRequest(pending, now);
      }
    }
  }

  private PendingRequest nextWaiting(List<PendingRequest> queue, HostState host, long now) {
    PendingRequest best = null;
    long bestPriority = Long.MAX_VALUE;
    if (queue.isEmpty()
        || host.occupiedSlots() >= effectiveLimit(host, now) && !isTrialDue(host, now)) {
      return null;
    }
    for (PendingRequest pending : queue) {
      long priority = priority(pending, now);
      if (priority < bestPriority && canServe(pending, host, now)) {
        best = pending;
        bestPriority = priority;
      }
    }
    return best;
  }

  private boolean canServe(PendingRequest pending, HostState host, long now) {
    // Others wait unseen where routers share slots: no late ones at slow hosts. Harm: late
    // earnings.
    if (minConcurrencyLimit < 1
        && host.latencyRatio > TARGET_LATENCY_RATIO
        && priority(pending, now) > LATE_PRIORITY / 2) {
      return false;
    }
    if (pending.isWrite()) {
      return host.group.primary == host && isUsable(host, now) && hasFreeSlot(pending, host, now);
    }
    freshnessStage.onRequest(pending, now);
    int suitability = suitability(pending, host, now);
    boolean patienceExceeded =
        now - pending.arrivedAt > pending.requestClass.latencyObjectiveNanos() * QUEUEING_PATIENCE;
    return suitability <= (patienceExceeded ? PRIMARY_FALLBACK : worstAccepted(pending, now))
        && hasFreeSlot(pending, host, now);
  }

  // An exception to parking for busy replicas: a read that has waited this share of its quoted time
  // takes
  // any replica, or a slot of the primary that reads may have. Guards against waste of the primary
  // when
  // replicas are few or slow; harm: a primary with more writes than it shows.
  private static final double QUEUEING_PATIENCE = 0.25;

  /**
   * The order of the parked: those that can still be answered in time, the most pressing first;
   * then the late, the newest first, so that slots do not go to those about to run out when they
   * are short. One that stayed away on our word comes before those that came meanwhile.
   */
  private long priority(PendingRequest pending, long now) {
    long priority =
        now + expectedServiceTime(pending) * IN_TIME_MULTIPLE > pending.objectiveDeadline
            ? LATE_PRIORITY - pending.objectiveDeadline
            : pending.objectiveDeadline;
    return priority - pending.request.waitedNanos();
  }

  private static final double IN_TIME_MULTIPLE =
      3; // usual times left of one still in time: 19 in 20 answers come
  private static final long LATE_PRIORITY = Long.MAX_VALUE - 1; // puts the late behind all in time

  // ---- time

  @Override
  public void timerFired(long now) {
    for (PendingRequest pending = deadlines.pollExpired(now);
        pending != null;
        pending = deadlines.pollExpired(now)) {
      if (now >= queueDeadline(pending)) {
        rejectOrFail(pending, now);
      } else {
        deadlines.add(queueDeadline(pending), pending);
      }
    }
    if (now >= nextTickAt) {
      nextTickAt = now + CHECK_INTERVAL;
      groups.values().forEach(group -> tick(group, now));
      hosts
          .values()
          .removeIf(host -> host.group == null && host.inFlight.isEmpty() && !host.probeInFlight);
    }
    if (now >= resubscribeAt) {
      resubscribeAt = Long.MAX_VALUE;
      actions.subscribeToEndpoints();
    }
    deadlines.rearm(Math.min(nextTickAt, resubscribeAt));
  }

  /** The periodic work: the health of the hosts, probes, and the parked. */
  private void tick(GroupState group, long now) {
    group.members.forEach(host -> checkHealth(host, now));
    for (PendingRequest pending :
        Stream.concat(group.firstAttempts.stream(), group.retries.stream()).toList()) {
      if (!pending.isWrite()) {
        pending.avoidedHosts.clear();
      } else if (group.primary == null) {
        process(pending, now);
      }
    }
    group.members.forEach(host -> dispatchWaiting(host, now));
  }
}
