package rushwood.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * Simulates a discovery agent and a router that uses {@link EndpointRefreshPolicy}, in virtual time
 * with steps of one millisecond. The agent responds to a poll one step after it was opened, and
 * sends a change on its watches in the step after it was published.
 */
final class SimulatedAgent implements EndpointRefreshPolicy.Transport {
  enum Behavior {
    RESPONDS,
    UNRESPONSIVE,
    REFUSES_CONNECTIONS,
    TRUNCATES_LISTS,
    /** Sends data in every step of a poll without ending the list. */
    NEVER_ENDS_LIST
  }

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long HEARTBEAT_MILLIS = 2000;

  final EndpointRefreshPolicy policy;
  final Map<Integer, Long> watches = new TreeMap<>(); // latest version sent on each
  final Map<Integer, Long> watchOpenTimes = new TreeMap<>(); // in ms
  final Map<Integer, Long> polls = new TreeMap<>(); // time in ms at which each was opened
  final List<Integer> stalledWatches = new ArrayList<>();
  final List<Long> pollTimesMillis = new ArrayList<>();
  Behavior behavior = Behavior.RESPONDS;
  LongSupplier responseDelayMillis = () -> 0; // of a poll, and of the first data on a watch
  boolean wellFormed = true;
  boolean heartbeatsOnly; // watches send heartbeats but no changes
  long nowMillis = 1_000_000;
  long version = 41;
  long publishedAtMillis = nowMillis;
  long receivedVersion = -1;
  long maxDelayMillis; // longest time from publishing a version until the router received it
  long wakeupAtNanos = Long.MAX_VALUE;
  int openedRequests;
  int maxOpenPolls;

  SimulatedAgent(long drainGraceMillis, long lastKnownVersion, long seed) {
    policy =
        new EndpointRefreshPolicy(
            drainGraceMillis * NANOS_PER_MILLI, lastKnownVersion, new SplittableRandom(seed), this);
  }

  SimulatedAgent start() {
    policy.start(nowMillis * NANOS_PER_MILLI);
    return this;
  }

  @Override
  public void open(int requestNumber, boolean watch, long sinceVersion) {
    openedRequests++;
    if (watch) {
      watches.put(requestNumber, sinceVersion);
      watchOpenTimes.put(requestNumber, nowMillis);
    } else {
      pollTimesMillis.add(nowMillis);
      polls.put(requestNumber, nowMillis);
      maxOpenPolls = Math.max(maxOpenPolls, polls.size());
    }
  }

  @Override
  public void close(int requestNumber, boolean timedOut) {
    watches.remove(requestNumber);
    polls.remove(requestNumber);
  }

  @Override
  public void scheduleWakeup(long at) {
    wakeupAtNanos = at;
  }

  /** Returns a list without entries; it has a problem unless {@link #wellFormed} is set. */
  EndpointList emptyList(boolean complete, long listVersion) {
    return new EndpointList(
        OptionalLong.of(listVersion),
        complete,
        false,
        0,
        List.of(),
        List.of(),
        wellFormed ? List.of() : List.of("addr is missing or cannot be read"));
  }

  /** Publishes a new version of the list. */
  void publishChange() {
    version++;
    publishedAtMillis = nowMillis;
  }

  /** Records that the router has received the current version, if the decision was to apply it. */
  void recordDecision(ListDecision decision) {
    if (decision == ListDecision.APPLIED && receivedVersion < version) {
      receivedVersion = version;
      maxDelayMillis = Math.max(maxDelayMillis, nowMillis - publishedAtMillis);
    }
  }

  /** In each step, runs the router's timer, then responds to polls, then sends on watches. */
  void runFor(long millis) {
    for (long end = nowMillis + millis; nowMillis < end; nowMillis++) {
      if (nowMillis * NANOS_PER_MILLI >= wakeupAtNanos) {
        wakeupAtNanos = Long.MAX_VALUE;
        policy.timerFired(nowMillis * NANOS_PER_MILLI);
      }
      List.copyOf(polls.keySet()).forEach(this::answerPoll);
      List.copyOf(watches.keySet()).forEach(this::sendOnWatch);
    }
  }

  private void answerPoll(int requestNumber) {
    Long openedAt = polls.get(requestNumber);
    if (openedAt == null || nowMillis <= openedAt + responseDelayMillis.getAsLong()) {
      return; // closed while another one was answered, or not answered yet
    }
    switch (behavior) {
      case RESPONDS -> {
        recordDecision(
            policy.listReceived(
                nowMillis * NANOS_PER_MILLI, requestNumber, emptyList(true, version)));
        policy.dataReceived(nowMillis * NANOS_PER_MILLI, requestNumber, true);
        policy.responseCompleted(nowMillis * NANOS_PER_MILLI, requestNumber);
      }
      case REFUSES_CONNECTIONS, TRUNCATES_LISTS ->
          policy.requestFailed(nowMillis * NANOS_PER_MILLI, requestNumber);
      case NEVER_ENDS_LIST ->
          policy.dataReceived(nowMillis * NANOS_PER_MILLI, requestNumber, false);
      case UNRESPONSIVE -> {
        // the poll stays open
      }
      default -> throw new IllegalStateException("behavior " + behavior);
    }
  }

  private void sendOnWatch(int requestNumber) {
    boolean hasStarted =
        nowMillis >= watchOpenTimes.get(requestNumber) + responseDelayMillis.getAsLong();
    if (behavior != Behavior.RESPONDS || !hasStarted || stalledWatches.contains(requestNumber)) {
      return;
    }
    if (heartbeatsOnly) {
      if (nowMillis % 200 == 0) {
        policy.dataReceived(nowMillis * NANOS_PER_MILLI, requestNumber, true);
      }
    } else if (watches.get(requestNumber) < version) {
      watches.put(requestNumber, version);
      recordDecision(
          policy.listReceived(
              nowMillis * NANOS_PER_MILLI, requestNumber, emptyList(false, version)));
      policy.dataReceived(nowMillis * NANOS_PER_MILLI, requestNumber, true);
    } else if (nowMillis % HEARTBEAT_MILLIS == 0) {
      policy.dataReceived(nowMillis * NANOS_PER_MILLI, requestNumber, true);
    }
  }

  /** Makes the open watches send nothing more. */
  void stallWatches() {
    stalledWatches.addAll(watches.keySet());
  }

  /** Fails the open watches as if their connections had been lost. */
  void breakWatches() {
    List.copyOf(watches.keySet())
        .forEach(
            requestNumber -> {
              watches.remove(requestNumber);
              policy.requestFailed(nowMillis * NANOS_PER_MILLI, requestNumber);
            });
  }
}
