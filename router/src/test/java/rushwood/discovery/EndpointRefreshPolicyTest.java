package rushwood.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The policy against a simulated agent, in virtual time. */
class EndpointRefreshPolicyTest {
  private static final long MILLISECOND = 1_000_000L;
  private static final long[] DRAIN_GRACES_MILLIS = {
    100, 250, 1000, 2000, 4000, 10_000, 15_000, 60_000
  };

  /** Every change counts as announced after this time, whatever the grace. */
  private static final long ANNOUNCED_AFTER_MILLIS = 6000;

  private interface Scenario {
    void run(SimulatedAgent agent, SplittableRandom random);
  }

  /**
   * The router has whatever the agent has within three quarters of the grace; the last quarter is
   * left for all else. 40 seeds at each grace.
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
        long bound = Math.min(drainGrace, ANNOUNCED_AFTER_MILLIS) * 3 / 4 + 2;
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

  /** A heartbeat does not prove that a watch brings the changes. */
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

  /** The waits do not grow, however long the agent was away and in whichever way. */
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

  /** A response that never ends is cut off and polled again; each later one gets more time. */
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
        "polls with growing time limits: " + agent.pollTimes.size());
  }

  /** A new process that holds an older list, and a new agent with versions of its own. */
  @Test
  void listArrivesAtOnceAtStartAndAfterAddressChange() {
    for (long drainGrace : DRAIN_GRACES_MILLIS) {
      SimulatedAgent agent = new SimulatedAgent(drainGrace, 40, 3).start();
      agent.runFor(5);
      assertEquals(41, agent.receivedVersion);
      assertTrue(agent.maxDelay <= 2);
      agent.policy.addressChanged(agent.now * MILLISECOND);
      agent.version = 7; // the new agent's own count
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
    agent.policy.addressChanged(agent.now * MILLISECOND);
    agent.runFor(3000);
    int old = agent.watches.keySet().iterator().next();
    agent.receive(
        agent.policy.listReceived(
            agent.now * MILLISECOND, old, agent.list(false, ++agent.version)));
    assertEquals(42, agent.receivedVersion);
    agent.behavior = SimulatedAgent.Behavior.ANSWERS;
    agent.publishChange();
    agent.runFor(250);
    assertEquals(43, agent.receivedVersion);
    assertEquals(false, agent.watches.containsKey(old));
  }

  /**
   * Of an older version only the leaving endpoints count; the list is polled at once, and the third
   * complete one in a row is accepted.
   */
  @Test
  void olderVersionIsAcceptedAtTheThirdCompleteList() {
    SimulatedAgent agent = new SimulatedAgent(2000, 40, 5).start();
    agent.runFor(50);
    int watch = agent.watches.keySet().iterator().next();
    assertEquals(
        ListDecision.IGNORED_OLDER_VERSION,
        agent.policy.listReceived(agent.now * MILLISECOND, watch, agent.list(false, 12)));
    assertEquals(
        OptionalLong.empty(), agent.policy.cachedVersion(), "the next list is decoded in full");
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
        ListDecision.IGNORED_OLDER_VERSION,
        agent.policy.listReceived(
            agent.now * MILLISECOND,
            agent.watches.keySet().iterator().next(),
            agent.list(true, 4)));
  }

  /** A list that could not be read in full is polled within the interval and decoded again. */
  @Test
  void listWithAnInvalidEntryIsPolledAgain() {
    SimulatedAgent agent = new SimulatedAgent(10_000, 40, 5).start();
    agent.wellFormed = false;
    agent.runFor(10);
    assertEquals(OptionalLong.empty(), agent.policy.cachedVersion());
    agent.wellFormed = true;
    agent.runFor(2010);
    assertEquals(2, agent.pollTimes.size());
    assertEquals(OptionalLong.of(41), agent.policy.cachedVersion());
  }

  /** The agent's load stays bounded, and 100 routers that start together do not stay in step. */
  @Test
  void pollRateIsBoundedAndJittered() {
    for (Map.Entry<Long, Integer> maxPolls :
        Map.of(250L, 60 * 11, 2000L, 60 * 2, 10_000L, 40).entrySet()) {
      long drainGrace = maxPolls.getKey();
      SimulatedAgent healthy = new SimulatedAgent(drainGrace, 40, 1).start();
      healthy.runFor(60_000);
      assertTrue(
          healthy.pollTimes.size() <= maxPolls.getValue(),
          healthy.pollTimes.size() + " polls with a grace of " + drainGrace);
      assertEquals(healthy.pollTimes.size() + 1, healthy.opened, "one watch");
      SimulatedAgent failing = new SimulatedAgent(drainGrace, 40, 1).start();
      failing.behavior = SimulatedAgent.Behavior.REFUSES;
      failing.runFor(60_000);
      assertTrue(
          failing.pollTimes.size() <= 60_000 / (Math.min(4000, drainGrace) / 8) + 1,
          failing.pollTimes.size() + " failing polls");
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
    agent.policy.timerFired(agent.now * MILLISECOND);
    agent.policy.requestFailed(agent.now * MILLISECOND, 0);
    agent.runFor(1000);
    assertEquals(opened, agent.opened);
  }
}
