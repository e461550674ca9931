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
 * What is known of the router, of each group and of each host: overload detectors, retry budgets,
 * and how many repeats to expect. Groups and hosts are those of the endpoint list; others are
 * ignored.
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

  /** Creates statistics without hosts; {@code log} receives a line for each change of state. */
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

  /** Forgets a host, and its group with its last host. */
  void removeHost(HostId host) {
    GroupId group = groupByHost.remove(host);
    hostDetectors.remove(host);
    if (group != null && !groupByHost.containsValue(group)) {
      groups.remove(group);
    }
  }

  /** The known hosts that are not in this list. */
  List<HostId> hostsMissingFrom(List<Endpoint> endpoints) {
    Set<HostId> listed = endpoints.stream().map(Endpoint::id).collect(Collectors.toSet());
    return groupByHost.keySet().stream().filter(host -> !listed.contains(host)).toList();
  }

  OverloadState routerState() {
    return routerDetector.state();
  }

  /** The state of a group, normal if it is not known. */
  OverloadState groupState(GroupId id) {
    GroupStatistics group = groups.get(id);
    return group == null ? OverloadState.NORMAL : group.detector().state();
  }

  /** How many requests a second the hosts can be expected to serve. */
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

  /** A request of the group ended without an answer: its client may repeat it. */
  void recordUnanswered(GroupId id) {
    GroupStatistics group = groups.get(id);
    if (group != null) {
      group.unansweredRequests().add();
    }
  }

  /** Takes one from the unanswered requests of the group, and returns whether there was one. */
  boolean takeUnanswered(GroupId id) {
    GroupStatistics group = groups.get(id);
    return group != null && group.unansweredRequests().take();
  }

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
   * Whether the group may have a retry now: always while its state {@linkplain
   * OverloadState#limitsRetries does not limit} retries, else while its {@link RetryBudget} has a
   * token. An unknown group is not limited.
   */
  boolean isRetryAllowed(long now, GroupId id) {
    GroupStatistics group = groups.get(id);
    return group == null
        || !group.detector().state().limitsRetries()
        || group.retryBudget().isRetryAllowed(now);
  }

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
