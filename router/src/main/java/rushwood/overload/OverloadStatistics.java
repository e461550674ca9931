package rushwood.overload;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.LogLevel;

/**
 * The overload detectors of the router, of each group and of each host, and for each group its
 * retry budget and its number of expected repeats. Groups and hosts are those of the endpoint list;
 * events of others count for the router only.
 *
 * <p>Arrivals are recorded for the router and the groups only. The detector of a host therefore
 * sees no arrivals, and its state stays {@link OverloadState#NORMAL}.
 */
final class OverloadStatistics {
  private final OverloadSettings settings;
  private final OverloadCounts counts;
  private final BiConsumer<LogLevel, String> log;
  private final OverloadDetector routerDetector = new OverloadDetector();
  private final Map<GroupId, GroupStatistics> groups =
      new TreeMap<>(Comparator.comparingInt(GroupId::value));
  private final Map<HostId, OverloadDetector> hostDetectors = new LinkedHashMap<>();
  private final Map<HostId, GroupId> groupByHost = new LinkedHashMap<>();

  /** Creates statistics without hosts; {@code log} receives a line for each state change. */
  OverloadStatistics(
      OverloadSettings settings, OverloadCounts counts, BiConsumer<LogLevel, String> log) {
    this.settings = settings;
    this.counts = counts;
    this.log = log;
  }

  void addHost(Endpoint endpoint) {
    groupByHost.put(endpoint.id(), endpoint.group());
    groups.computeIfAbsent(endpoint.group(), group -> new GroupStatistics(settings));
    hostDetectors.computeIfAbsent(endpoint.id(), host -> new OverloadDetector());
  }

  /** Removes a host, and its group if this was the last host in it. */
  void removeHost(HostId host) {
    GroupId group = groupByHost.remove(host);
    hostDetectors.remove(host);
    if (group != null && !groupByHost.containsValue(group)) {
      groups.remove(group);
    }
  }

  /** Returns the known hosts that are not in the list. */
  List<HostId> hostsMissingFrom(List<Endpoint> endpoints) {
    Set<HostId> listed = endpoints.stream().map(Endpoint::id).collect(Collectors.toSet());
    return groupByHost.keySet().stream().filter(host -> !listed.contains(host)).toList();
  }

  OverloadState routerState() {
    return routerDetector.state();
  }

  /** Returns the state of a group, normal if the group is unknown. */
  OverloadState groupState(GroupId id) {
    GroupStatistics group = groups.get(id);
    return group == null ? OverloadState.NORMAL : group.detector().state();
  }

  /** Returns how many requests per second the hosts are expected to serve. */
  double expectedRate() {
    return Math.max(routerDetector.completionRate(), routerDetector.peakCompletionRate() / 2);
  }

  void recordArrival(GroupId id, boolean repeated) {
    routerDetector.recordArrival(repeated);
    GroupStatistics group = groups.get(id);
    if (group != null) {
      group.detector().recordArrival(repeated);
    }
  }

  void recordRejected(GroupId id) {
    routerDetector.recordRefused();
    GroupStatistics group = groups.get(id);
    if (group != null) {
      group.detector().recordRefused();
    }
  }

  /**
   * Records that a request of the group ended without an answer, so that its client may repeat it.
   */
  void recordUnanswered(GroupId id) {
    GroupStatistics group = groups.get(id);
    if (group != null) {
      group.unansweredRequests().add();
    }
  }

  /** Takes one of the unanswered requests of the group; returns whether there was one. */
  boolean takeUnanswered(GroupId id) {
    GroupStatistics group = groups.get(id);
    return group != null && group.unansweredRequests().take();
  }

  /**
   * Records the outcome of an attempt for the router, its group and its host. A timeout counts as a
   * refusal for all three, a failed connect or a refusal by the overloaded host for the host only.
   */
  void recordOutcome(AttemptResult result) {
    boolean succeeded = result.outcome() == AttemptOutcome.SUCCESS;
    boolean timedOut = result.outcome() == AttemptOutcome.TIMED_OUT;
    record(routerDetector, succeeded, timedOut);
    GroupId id = groupByHost.get(result.host());
    GroupStatistics group = id == null ? null : groups.get(id);
    if (group != null) {
      record(group.detector(), succeeded, timedOut);
    }
    OverloadDetector hostDetector = hostDetectors.get(result.host());
    if (hostDetector != null) {
      record(hostDetector, succeeded, timedOut || isRefusedByHost(result.outcome()));
    }
  }

  private static void record(OverloadDetector detector, boolean succeeded, boolean refused) {
    if (succeeded) {
      detector.recordCompleted();
    }
    if (refused) {
      detector.recordRefused();
    }
  }

  private static boolean isRefusedByHost(AttemptOutcome outcome) {
    return outcome == AttemptOutcome.CONNECT_FAILED || outcome == AttemptOutcome.OVERLOADED;
  }

  /**
   * Returns whether the group may have a retry now: always unless its state {@linkplain
   * OverloadState#limitsRetries limits retries}, otherwise while its {@link RetryBudget} has a
   * token. Retries in an unknown group are not limited.
   */
  boolean isRetryAllowed(long now, GroupId id) {
    GroupStatistics group = groups.get(id);
    return group == null
        || !group.detector().state().limitsRetries()
        || group.retryBudget().isRetryAllowed(now);
  }

  /**
   * Records an attempt in the retry budget of its group.
   *
   * @param isCostlyRetry whether the attempt follows one of the same request that cost its host
   *     work
   */
  void recordAttempt(long now, GroupId id, boolean isCostlyRetry) {
    GroupStatistics group = groups.get(id);
    if (group == null) {
      return;
    }
    if (isCostlyRetry) {
      group.retryBudget().recordRetry(now);
    } else {
      group.retryBudget().recordUnlimitedAttempt(now);
    }
  }

  /** Ends a tick of {@link OverloadDetector#TICK_NANOS}. */
  void tick() {
    tick("router", routerDetector);
    groups.forEach(
        (id, group) -> {
          group.unansweredRequests().tick();
          tick("group " + id, group.detector());
        });
    hostDetectors.forEach((id, detector) -> tick("host " + id, detector));
  }

  private void tick(String scope, OverloadDetector detector) {
    if (detector.tick()) {
      counts.addStateChange();
      log.accept(detector.state().logLevel(), "overload state of " + scope + " is now " + detector);
    }
  }
}
