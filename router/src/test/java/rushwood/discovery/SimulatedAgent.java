package rushwood.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A discovery agent and a router that follows it by the policy, in virtual time of a millisecond a
 * step. A response takes one step; a watch brings a change in the step after it.
 */
final class SimulatedAgent implements EndpointRefreshPolicy.Transport {
  enum Behavior {
    ANSWERS,
    SILENT,
    REFUSES,
    TRUNCATES,
    /** Sends data all the time and never ends a list. */
    DRIPS
  }

  private static final long MILLISECOND = 1_000_000L;
  private static final long HEARTBEAT_MILLIS = 2000;

  final EndpointRefreshPolicy policy;
  final Map<Integer, Long> watches = new TreeMap<>(); // version that each has sent
  final Map<Integer, Long> polls = new TreeMap<>(); // when each was opened
  final List<Integer> silentWatches = new ArrayList<>();
  final List<Long> pollTimes = new ArrayList<>();
  Behavior behavior = Behavior.ANSWERS;
  boolean wellFormed = true;
  boolean heartbeatsOnly; // watches send heartbeats and no changes
  long now = 1_000_000;
  long version = 41;
  long publishedAt = now;
  long receivedVersion = -1;
  long maxDelay; // ms from when the agent had a version until the router had it
  long wakeupAt = Long.MAX_VALUE;
  int opened;

  SimulatedAgent(long drainGrace, long knownVersion, long seed) {
    policy =
        new EndpointRefreshPolicy(
            drainGrace * MILLISECOND, knownVersion, new SplittableRandom(seed), this);
  }

  SimulatedAgent start() {
    policy.start(now * MILLISECOND);
    return this;
  }

  @Override
  public void open(int requestNumber, boolean watch, long sinceVersion) {
    opened++;
    if (watch) {
      watches.put(requestNumber, sinceVersion);
    } else {
      pollTimes.add(now);
      polls.put(requestNumber, now);
    }
  }

  @Override
  public void close(int requestNumber, boolean timedOut) {
    watches.remove(requestNumber);
    polls.remove(requestNumber);
  }

  @Override
  public void scheduleWakeup(long at) {
    wakeupAt = at;
  }

  /** A list without entries, with a problem unless the agent's lists are well formed. */
  EndpointList list(boolean complete, long listVersion) {
    return new EndpointList(
        OptionalLong.of(listVersion),
        complete,
        false,
        0,
        List.of(),
        List.of(),
        wellFormed ? List.of() : List.of("addr is missing or cannot be read"));
  }

  /** The agent has a new version of the list from now on. */
  void publishChange() {
    version++;
    publishedAt = now;
  }

  /** The router has got the agent's current version. */
  void receive(ListDecision decision) {
    if (decision == ListDecision.APPLIED && receivedVersion < version) {
      receivedVersion = version;
      maxDelay = Math.max(maxDelay, now - publishedAt);
    }
  }

  /** Runs so many steps: the router's timer, then the polls, then the watches. */
  void runFor(long millis) {
    for (long end = now + millis; now < end; now++) {
      if (now * MILLISECOND >= wakeupAt) {
        wakeupAt = Long.MAX_VALUE;
        policy.timerFired(now * MILLISECOND);
      }
      List.copyOf(polls.keySet()).forEach(this::answerPoll);
      List.copyOf(watches.keySet()).forEach(this::feedWatch);
    }
  }

  private void answerPoll(int requestNumber) {
    if (now <= polls.get(requestNumber)) {
      return; // a response takes a step
    }
    switch (behavior) {
      case ANSWERS -> {
        receive(policy.listReceived(now * MILLISECOND, requestNumber, list(true, version)));
        policy.dataReceived(now * MILLISECOND, requestNumber, true);
        policy.responseCompleted(now * MILLISECOND, requestNumber);
      }
      case REFUSES, TRUNCATES -> policy.requestFailed(now * MILLISECOND, requestNumber);
      case DRIPS -> policy.dataReceived(now * MILLISECOND, requestNumber, false);
      case SILENT -> {
        // the poll stays open
      }
      default -> throw new IllegalStateException("behavior " + behavior);
    }
  }

  private void feedWatch(int requestNumber) {
    if (behavior != Behavior.ANSWERS || silentWatches.contains(requestNumber)) {
      return;
    }
    if (heartbeatsOnly) {
      if (now % 200 == 0) {
        policy.dataReceived(now * MILLISECOND, requestNumber, true);
      }
    } else if (watches.get(requestNumber) < version) {
      watches.put(requestNumber, version);
      receive(policy.listReceived(now * MILLISECOND, requestNumber, list(false, version)));
      policy.dataReceived(now * MILLISECOND, requestNumber, true);
    } else if (now % HEARTBEAT_MILLIS == 0) {
      policy.dataReceived(now * MILLISECOND, requestNumber, true);
    }
  }

  /** The watches that are open now send nothing any more. */
  void silenceWatches() {
    silentWatches.addAll(watches.keySet());
  }

  /** The watches that are open now end with a connection error. */
  void breakWatches() {
    List.copyOf(watches.keySet())
        .forEach(
            requestNumber -> {
              watches.remove(requestNumber);
              policy.requestFailed(now * MILLISECOND, requestNumber);
            });
  }
}
