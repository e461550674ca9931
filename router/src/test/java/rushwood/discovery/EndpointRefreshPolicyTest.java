package rushwood.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Follows an agent of the test's own in virtual time, a millisecond a step. */
class EndpointRefreshPolicyTest {
  private static final long MS = 1_000_000L;
  private static final long[] DRAIN_GRACES_MILLIS = {
    100, 250, 1000, 2000, 4000, 10_000, 15_000, 60_000
  }; // ms

  /** The agent, and the router that follows it. */
  private static final class SimulatedAgent implements EndpointRefreshPolicy.Transport {
    enum Behavior {
      ANSWERS,
      SILENT,
      REFUSES,
      TRUNCATES,
      DRIPS
    }

    final EndpointRefreshPolicy policy;
    final Map<Integer, Long> watches = new TreeMap<>(); // what each was told last
    final Map<Integer, Long> polls = new TreeMap<>(); // when each came
    final List<Integer> silentWatches = new ArrayList<>();
    final List<Long> pollTimes = new ArrayList<>();
    Behavior behavior = Behavior.ANSWERS;
    boolean wellFormed = true;
    boolean heartbeatsOnly; // watches beat, and bring nothing
    long now = 1_000_000;
    long version = 41;
    long publishedAt = now;
    long receivedVersion = -1;
    long maxDelay; // from when the agent had a version until the router had it
    long wakeupAt = Long.MAX_VALUE;
    int opened;

    SimulatedAgent(long drainGrace, long knownVersion, long seed) {
      policy =
          new EndpointRefreshPolicy(
              drainGrace * MS, knownVersion, new SplittableRandom(seed), this);
    }

    SimulatedAgent start() {
      policy.start(now * MS);
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

    void publishChange() {
      version++;
      publishedAt = now;
    }

    void receive(EndpointRefreshPolicy.Acceptance acceptance) {
      if (acceptance == EndpointRefreshPolicy.Acceptance.ALL && receivedVersion < version) {
        receivedVersion = version;
        maxDelay = Math.max(maxDelay, now - publishedAt);
      }
    }

    void runFor(long millis) {
      for (long end = now + millis; now < end; now++) {
        if (now * MS >= wakeupAt) {
          wakeupAt = Long.MAX_VALUE;
          policy.timerFired(now * MS);
        }
        List.copyOf(polls.keySet()).forEach(this::answerPoll);
        List.copyOf(watches.keySet()).forEach(this::feedWatch);
      }
    }

    private void answerPoll(int requestNumber) {
      if (now <= polls.get(requestNumber)) {
        return; // answers take a step
      }
      switch (behavior) {
        case ANSWERS -> {
          receive(policy.listReceived(now * MS, requestNumber, true, version, wellFormed));
          policy.dataReceived(now * MS, requestNumber, true);
          policy.responseCompleted(now * MS, requestNumber);
        }
        case REFUSES, TRUNCATES -> policy.requestFailed(now * MS, requestNumber);
        case DRIPS -> policy.dataReceived(now * MS, requestNumber, false);
        case SILENT -> {}
      }
    }

    private void feedWatch(int requestNumber) {
      if (behavior != Behavior.ANSWERS || silentWatches.contains(requestNumber)) {
        return;
      }
      if (heartbeatsOnly) {
        if (now % 200 == 0) {
          policy.dataReceived(now * MS, requestNumber, true);
        }
      } else if (watches.get(requestNumber) < version) {
        watches.put(requestNumber, version);
        receive(policy.listReceived(now * MS, requestNumber, false, version, wellFormed));
        policy.dataReceived(now * MS, requestNumber, true);
      } else if (now % 2000 == 0) {
        policy.dataReceived(now * MS, requestNumber, true);
      }
    }

    void silenceWatches() {
      silentWatches.addAll(watches.keySet());
    }

    void breakWatches() {
      List.copyOf(watches.keySet())
          .forEach(
              requestNumber -> {
                watches.remove(requestNumber);
                policy.requestFailed(now * MS, requestNumber);
              });
    }
  }

  private interface Scenario {
    void run(SimulatedAgent agent, SplittableRandom random);
  }

  /**
   * Whatever the agent has the router has well inside any grace: a quarter of it is left for all
   * else.
   */
  private static void assertDelayWithinGrace(Scenario scenario) {
    for (long drainGrace : DRAIN_GRACES_MILLIS) {
      for (int seed = 0; seed < 40; seed++) {
        SimulatedAgent agent = new SimulatedAgent(drainGrace, 40, seed).start();
        SplittableRandom random = new SplittableRandom(seed);
        agent.runFor(100 + random.nextInt(5000));
        assertEquals(41, agent.receivedVersion);
        agent.maxDelay = 0;
        scenario.run(agent, random);
        agent.runFor(20_000);
        assertEquals(agent.version, agent.receivedVersion);
        long bound =
            Math.min(drainGrace, 6000) * 3 / 4 + 2; // and what counts 6 s later at the latest
        assertTrue(
            agent.maxDelay <= bound,
            agent.maxDelay + " ms with a grace of " + drainGrace + ", seed " + seed);
      }
    }
  }

  @Test
  void changeArrivesWithoutDelayOnTheWatch() {
    SimulatedAgent agent = new SimulatedAgent(2000, 40, 1).start();
    agent.runFor(500);
    agent.maxDelay = 0;
    agent.publishChange();
    agent.runFor(500);
    assertEquals(0, agent.maxDelay);
  }

  @Test
  void silentWatchStaysWithinGrace() {
    assertDelayWithinGrace(
        (agent, random) -> {
          agent.silenceWatches();
          agent.runFor(1 + random.nextInt(7000));
          agent.publishChange();
        });
  }

  /** Its signs of life prove nothing of what it brings. */
  @Test
  void watchWithHeartbeatsOnlyStaysWithinGrace() {
    assertDelayWithinGrace(
        (agent, random) -> {
          agent.heartbeatsOnly = true;
          agent.runFor(1 + random.nextInt(7000));
          agent.publishChange();
        });
  }

  @Test
  void brokenWatchStaysWithinGrace() {
    assertDelayWithinGrace(
        (agent, random) -> {
          agent.breakWatches();
          agent.publishChange();
          agent.runFor(random.nextInt(3000));
          agent.breakWatches();
          agent.runFor(random.nextInt(300));
          agent.publishChange();
        });
  }

  /** However long it was away, and whichever way: the waits do not grow. */
  @Test
  void recoveryOfTheAgentStaysWithinGrace() {
    for (SimulatedAgent.Behavior behavior :
        List.of(
            SimulatedAgent.Behavior.SILENT,
            SimulatedAgent.Behavior.REFUSES,
            SimulatedAgent.Behavior.TRUNCATES)) {
      assertDelayWithinGrace(
          (agent, random) -> {
            agent.behavior = behavior;
            if (random.nextBoolean()) {
              agent.breakWatches();
            } else {
              agent.silenceWatches();
            }
            agent.runFor(random.nextInt(30_000));
            agent.behavior = SimulatedAgent.Behavior.ANSWERS;
            agent.publishChange();
          });
    }
  }

  /**
   * An answer that never ends is cut off, each later one allowed more time, and asked for again.
   */
  @Test
  void endlessResponseIsCutOff() {
    assertDelayWithinGrace(
        (agent, random) -> {
          agent.silenceWatches();
          agent.behavior = SimulatedAgent.Behavior.DRIPS;
          agent.runFor(random.nextInt(3000));
          agent.behavior = SimulatedAgent.Behavior.ANSWERS;
          agent.publishChange();
        });
    SimulatedAgent agent = new SimulatedAgent(250, 40, 1).start();
    agent.behavior = SimulatedAgent.Behavior.DRIPS;
    agent.runFor(10_000);
    assertTrue(
        agent.pollTimes.size() > 5 && agent.pollTimes.size() < 20,
        "not in a hurry: " + agent.pollTimes.size());
  }

  /** From the first moment of a new process, which holds an older list, and of a new agent. */
  @Test
  void listArrivesAtOnceAtStartAndAfterAddressChange() {
    for (long drainGrace : DRAIN_GRACES_MILLIS) {
      SimulatedAgent agent = new SimulatedAgent(drainGrace, 40, 3).start();
      agent.runFor(5);
      assertEquals(41, agent.receivedVersion);
      assertTrue(agent.maxDelay <= 2);
      agent.policy.addressChanged(agent.now * MS);
      agent.version = 7; // its own count
      agent.receivedVersion = 6;
      agent.publishedAt = agent.now;
      agent.maxDelay = 0;
      agent.runFor(drainGrace);
      assertEquals(7, agent.receivedVersion);
      assertTrue(agent.maxDelay <= 2);
      assertEquals(1, agent.watches.size(), "the old agent's watch is closed");
    }
  }

  /** The old agent's watch goes on until the new agent has answered. */
  @Test
  void oldWatchCountsUntilTheNewAgentAnswers() {
    SimulatedAgent agent = new SimulatedAgent(250, 40, 3).start();
    agent.runFor(100);
    agent.behavior = SimulatedAgent.Behavior.SILENT;
    agent.policy.addressChanged(agent.now * MS);
    agent.runFor(3000);
    int old = agent.watches.keySet().iterator().next();
    agent.receive(agent.policy.listReceived(agent.now * MS, old, false, ++agent.version, true));
    assertEquals(42, agent.receivedVersion);
    agent.behavior = SimulatedAgent.Behavior.ANSWERS;
    agent.publishChange();
    agent.runFor(250);
    assertEquals(43, agent.receivedVersion);
    assertEquals(false, agent.watches.containsKey(old));
  }

  /**
   * A version that goes back: only leaving hosts count, the list is asked for at once, and believed
   * at the third.
   */
  @Test
  void olderVersionIsAcceptedAtTheThirdCompleteList() {
    SimulatedAgent agent = new SimulatedAgent(2000, 40, 5).start();
    agent.runFor(50);
    int watch = agent.watches.keySet().iterator().next();
    assertEquals(
        EndpointRefreshPolicy.Acceptance.LEAVING_ENDPOINTS,
        agent.policy.listReceived(agent.now * MS, watch, false, 12, true));
    assertEquals(-1, agent.policy.skippableVersion(), "the next list is read whole");
    int before = agent.pollTimes.size();
    agent.runFor(600);
    assertEquals(before + 1, agent.pollTimes.size());
    agent.version = 5;
    agent.receivedVersion = 4;
    agent.publishedAt = agent.now;
    agent.runFor(2 * 1000);
    assertEquals(5, agent.receivedVersion);
    agent.version = 4;
    assertEquals(
        EndpointRefreshPolicy.Acceptance.LEAVING_ENDPOINTS,
        agent.policy.listReceived(
            agent.now * MS, agent.watches.keySet().iterator().next(), true, 4, true));
  }

  /** What could not be read in full is asked for soon, and is not passed over then. */
  @Test
  void listWithAnInvalidEntryIsPolledAgain() {
    SimulatedAgent agent = new SimulatedAgent(10_000, 40, 5).start();
    agent.wellFormed = false;
    agent.runFor(10);
    assertEquals(-1, agent.policy.skippableVersion());
    agent.wellFormed = true;
    agent.runFor(2010);
    assertEquals(2, agent.pollTimes.size());
    assertEquals(41, agent.policy.skippableVersion());
  }

  /**
   * What it costs the agent, and that a hundred routers that begin together do not stay in step.
   */
  @Test
  void pollRateIsBoundedAndJittered() {
    for (Map.Entry<Long, Integer> each :
        Map.of(250L, 60 * 11, 2000L, 60 * 2, 10_000L, 40).entrySet()) {
      SimulatedAgent healthy = new SimulatedAgent(each.getKey(), 40, 1).start();
      healthy.runFor(60_000);
      assertTrue(
          healthy.pollTimes.size() <= each.getValue(),
          healthy.pollTimes.size() + " asks with " + each.getKey());
      assertEquals(healthy.pollTimes.size() + 1, healthy.opened, "one watch");
      SimulatedAgent failing = new SimulatedAgent(each.getKey(), 40, 1).start();
      failing.behavior = SimulatedAgent.Behavior.REFUSES;
      failing.runFor(60_000);
      assertTrue(
          failing.pollTimes.size() <= 60_000 / (Math.min(4000, each.getKey()) / 8) + 1,
          failing.pollTimes.size() + " asks in vain");
    }
    Map<Long, Integer> together = new TreeMap<>();
    for (int router = 0; router < 100; router++) {
      SimulatedAgent agent = new SimulatedAgent(2000, 40, router).start();
      agent.behavior = SimulatedAgent.Behavior.REFUSES;
      agent.runFor(10_000);
      together.merge(agent.pollTimes.get(agent.pollTimes.size() - 1) / 10, 1, Integer::sum);
    }
    assertTrue(together.values().stream().allMatch(count -> count < 15), together.toString());
  }

  @Test
  void stopClosesAllRequests() {
    SimulatedAgent agent = new SimulatedAgent(250, 40, 1).start();
    agent.runFor(100);
    agent.policy.stop();
    assertEquals(0, agent.watches.size() + agent.polls.size());
    int opened = agent.opened;
    agent.policy.timerFired(agent.now * MS);
    agent.policy.requestFailed(agent.now * MS, 0);
    agent.runFor(1000);
    assertEquals(opened, agent.opened);
  }
}
