package rushwood.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests the policy with a simulated agent in virtual time. */
class EndpointRefreshPolicyTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long[] DRAIN_GRACES_MILLIS = {
    100, 250, 1000, 2000, 4000, 10_000, 15_000, 60_000
  };

  /** A change counts as known to the router after this time, even if the drain grace is longer. */
  private static final long ANNOUNCEMENT_DEADLINE_MILLIS = 6000;

  private interface Scenario {
    void run(SimulatedAgent agent, SplittableRandom random);
  }

  /**
   * Asserts for each drain grace and 40 seeds that every change reaches the router within three
   * quarters of the grace, or of {@link #ANNOUNCEMENT_DEADLINE_MILLIS} if that is shorter. The last
   * quarter is reserved for other delays.
   */
  private static void assertDelayWithinGrace(Scenario scenario) {
    for (long drainGraceMillis : DRAIN_GRACES_MILLIS) {
      for (int seed = 0; seed < 40; seed++) {
        SimulatedAgent agent = new SimulatedAgent(drainGraceMillis, 40, seed).start();
        SplittableRandom random = new SplittableRandom(seed);
        agent.runFor(100 + random.nextInt(5000));
        assertEquals(41, agent.receivedVersion);
        agent.maxDelayMillis = 0;
        scenario.run(agent, random);
        agent.runFor(20_000);
        assertEquals(agent.version, agent.receivedVersion);
        long bound = Math.min(drainGraceMillis, ANNOUNCEMENT_DEADLINE_MILLIS) * 3 / 4 + 2;
        assertTrue(
            agent.maxDelayMillis <= bound,
            agent.maxDelayMillis + " ms with a grace of " + drainGraceMillis + ", seed " + seed);
      }
    }
  }

  @Test
  void watchDeliversChangeWithoutDelay() {
    SimulatedAgent agent = new SimulatedAgent(2000, 40, 1).start();
    agent.runFor(500);
    agent.maxDelayMillis = 0;
    agent.publishChange();
    agent.runFor(500);
    assertEquals(0, agent.maxDelayMillis);
  }

  @Test
  void changeArrivesWithinGraceDespiteStalledWatch() {
    assertDelayWithinGrace(
        (agent, random) -> {
          agent.stallWatches();
          agent.runFor(1 + random.nextInt(7000));
          agent.publishChange();
        });
  }

  /** A watch that sends heartbeats may still not deliver changes, so polls must detect them. */
  @Test
  void changeArrivesWithinGraceDespiteWatchWithoutChanges() {
    assertDelayWithinGrace(
        (agent, random) -> {
          agent.heartbeatsOnly = true;
          agent.runFor(1 + random.nextInt(7000));
          agent.publishChange();
        });
  }

  @Test
  void changeArrivesWithinGraceDespiteBrokenWatch() {
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

  /** Delays between polls must not grow during an outage of any length or kind. */
  @Test
  void changeArrivesWithinGraceAfterAgentRecovers() {
    for (SimulatedAgent.Behavior behavior :
        List.of(
            SimulatedAgent.Behavior.UNRESPONSIVE,
            SimulatedAgent.Behavior.REFUSES_CONNECTIONS,
            SimulatedAgent.Behavior.TRUNCATES_LISTS)) {
      assertDelayWithinGrace(
          (agent, random) -> {
            agent.behavior = behavior;
            if (random.nextBoolean()) {
              agent.breakWatches();
            } else {
              agent.stallWatches();
            }
            agent.runFor(random.nextInt(30_000));
            agent.behavior = SimulatedAgent.Behavior.RESPONDS;
            agent.publishChange();
          });
    }
  }

  /** A response that never ends is closed and polled again, with more time for each later poll. */
  @Test
  void endlessResponseTimesOut() {
    assertDelayWithinGrace(
        (agent, random) -> {
          agent.stallWatches();
          agent.behavior = SimulatedAgent.Behavior.NEVER_ENDS_LIST;
          agent.runFor(random.nextInt(3000));
          agent.behavior = SimulatedAgent.Behavior.RESPONDS;
          agent.publishChange();
        });
    SimulatedAgent agent = new SimulatedAgent(250, 40, 1).start();
    agent.behavior = SimulatedAgent.Behavior.NEVER_ENDS_LIST;
    agent.runFor(10_000);
    assertTrue(
        agent.pollTimesMillis.size() > 5 && agent.pollTimesMillis.size() < 20,
        "number of polls with growing timeouts: " + agent.pollTimesMillis.size());
  }

  /** Covers a new process with an older list, and a new agent with independent versions. */
  @Test
  void listArrivesAtOnceAfterStartAndAddressChange() {
    for (long drainGraceMillis : DRAIN_GRACES_MILLIS) {
      SimulatedAgent agent = new SimulatedAgent(drainGraceMillis, 40, 3).start();
      agent.runFor(5);
      assertEquals(41, agent.receivedVersion);
      assertTrue(agent.maxDelayMillis <= 2);
      agent.policy.addressChanged(agent.nowMillis * NANOS_PER_MILLI);
      agent.version = 7; // versions of the two agents are independent
      agent.receivedVersion = 6;
      agent.publishedAtMillis = agent.nowMillis;
      agent.maxDelayMillis = 0;
      agent.runFor(drainGraceMillis);
      assertEquals(7, agent.receivedVersion);
      assertTrue(agent.maxDelayMillis <= 2);
      assertEquals(1, agent.watches.size(), "only the new agent's watch is open");
    }
  }

  /** Guards against missing changes while the agent at the new address does not respond yet. */
  @Test
  void oldWatchIsUsedUntilNewAgentResponds() {
    SimulatedAgent agent = new SimulatedAgent(250, 40, 3).start();
    agent.runFor(100);
    agent.behavior = SimulatedAgent.Behavior.UNRESPONSIVE;
    agent.policy.addressChanged(agent.nowMillis * NANOS_PER_MILLI);
    agent.runFor(3000);
    int oldWatch = agent.watches.keySet().iterator().next();
    agent.recordDecision(
        agent.policy.listReceived(
            agent.nowMillis * NANOS_PER_MILLI, oldWatch, agent.emptyList(false, ++agent.version)));
    assertEquals(42, agent.receivedVersion);
    agent.behavior = SimulatedAgent.Behavior.RESPONDS;
    agent.publishChange();
    agent.runFor(250);
    assertEquals(43, agent.receivedVersion);
    assertEquals(false, agent.watches.containsKey(oldWatch));
  }

  /**
   * A list with an older version is ignored and polled again urgently; the third complete one in a
   * row is applied.
   */
  @Test
  void thirdCompleteListWithOlderVersionIsApplied() {
    SimulatedAgent agent = new SimulatedAgent(2000, 40, 5).start();
    agent.runFor(50);
    int watch = agent.watches.keySet().iterator().next();
    assertEquals(
        ListDecision.IGNORED_OLDER_VERSION,
        agent.policy.listReceived(
            agent.nowMillis * NANOS_PER_MILLI, watch, agent.emptyList(false, 12)));
    assertEquals(
        OptionalLong.empty(), agent.policy.cachedVersion(), "the next list is decoded in full");
    int pollsBefore = agent.pollTimesMillis.size();
    agent.runFor(600);
    assertEquals(pollsBefore + 1, agent.pollTimesMillis.size());
    agent.version = 5;
    agent.receivedVersion = 4;
    agent.publishedAtMillis = agent.nowMillis;
    agent.runFor(2 * 1000);
    assertEquals(5, agent.receivedVersion);
    agent.version = 4;
    assertEquals(
        ListDecision.IGNORED_OLDER_VERSION,
        agent.policy.listReceived(
            agent.nowMillis * NANOS_PER_MILLI,
            agent.watches.keySet().iterator().next(),
            agent.emptyList(true, 4)));
  }

  /** A list that cannot be read in full is polled within the poll interval and decoded again. */
  @Test
  void listWithInvalidEntryIsPolledAgain() {
    SimulatedAgent agent = new SimulatedAgent(10_000, 40, 5).start();
    agent.wellFormed = false;
    agent.runFor(10);
    assertEquals(OptionalLong.empty(), agent.policy.cachedVersion());
    agent.wellFormed = true;
    agent.runFor(2010);
    assertEquals(2, agent.pollTimesMillis.size());
    assertEquals(OptionalLong.of(41), agent.policy.cachedVersion());
  }

  /** The poll rate is bounded, and routers that start together do not keep polling together. */
  @Test
  void pollRateIsBoundedAndJittered() {
    for (Map.Entry<Long, Integer> maxPolls :
        Map.of(250L, 60 * 11, 2000L, 60 * 2, 10_000L, 40).entrySet()) {
      long drainGraceMillis = maxPolls.getKey();
      SimulatedAgent healthy = new SimulatedAgent(drainGraceMillis, 40, 1).start();
      healthy.runFor(60_000);
      assertTrue(
          healthy.pollTimesMillis.size() <= maxPolls.getValue(),
          healthy.pollTimesMillis.size() + " polls with a grace of " + drainGraceMillis);
      assertEquals(
          healthy.pollTimesMillis.size() + 1, healthy.openedRequests, "one request is the watch");
      SimulatedAgent failing = new SimulatedAgent(drainGraceMillis, 40, 1).start();
      failing.behavior = SimulatedAgent.Behavior.REFUSES_CONNECTIONS;
      failing.runFor(60_000);
      assertTrue(
          failing.pollTimesMillis.size() <= 60_000 / (Math.min(4000, drainGraceMillis) / 8) + 1,
          failing.pollTimesMillis.size() + " polls that failed");
    }
    Map<Long, Integer> lastPollsPer10Millis = new TreeMap<>();
    for (int router = 0; router < 100; router++) {
      SimulatedAgent agent = new SimulatedAgent(2000, 40, router).start();
      agent.behavior = SimulatedAgent.Behavior.REFUSES_CONNECTIONS;
      agent.runFor(10_000);
      lastPollsPer10Millis.merge(
          agent.pollTimesMillis.get(agent.pollTimesMillis.size() - 1) / 10, 1, Integer::sum);
    }
    assertTrue(
        lastPollsPer10Millis.values().stream().allMatch(count -> count < 15),
        lastPollsPer10Millis.toString());
  }

  @Test
  void stopClosesAllRequests() {
    SimulatedAgent agent = new SimulatedAgent(250, 40, 1).start();
    agent.runFor(100);
    agent.policy.stop();
    assertEquals(0, agent.watches.size() + agent.polls.size());
    int openedRequests = agent.openedRequests;
    agent.policy.timerFired(agent.nowMillis * NANOS_PER_MILLI);
    agent.policy.requestFailed(agent.nowMillis * NANOS_PER_MILLI, 0);
    agent.runFor(1000);
    assertEquals(openedRequests, agent.openedRequests);
  }

  /**
   * Guards against a router that never hears an agent which answers every call late: it must know
   * the first list and each change in the time in which the platform expects it.
   */
  @Test
  void slowAgentIsHeardInTime() {
    for (long drainGraceMillis : DRAIN_GRACES_MILLIS) {
      for (long delayMillis : new long[] {200, 400, 700, 1000, 1500, 3000}) {
        for (int seed = 0; seed < 10; seed++) {
          SimulatedAgent agent = new SimulatedAgent(drainGraceMillis, 40, seed);
          agent.responseDelayMillis = () -> delayMillis;
          assertChangesArriveInTime(agent, drainGraceMillis + " ms, delay " + delayMillis);
        }
      }
    }
  }

  @Test
  void agentWithVaryingDelaysIsHeardInTime() {
    for (long drainGraceMillis : DRAIN_GRACES_MILLIS) {
      for (int seed = 0; seed < 10; seed++) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedAgent agent = new SimulatedAgent(drainGraceMillis, 40, seed);
        long[] delays = random.longs(100, 0, 3000).toArray();
        agent.responseDelayMillis = () -> delays[agent.openedRequests % delays.length];
        assertChangesArriveInTime(agent, drainGraceMillis + " ms, seed " + seed);
      }
    }
  }

  private static void assertChangesArriveInTime(SimulatedAgent agent, String description) {
    agent.start();
    SplittableRandom random = new SplittableRandom(7);
    agent.runFor(ANNOUNCEMENT_DEADLINE_MILLIS);
    assertEquals(agent.version, agent.receivedVersion, "first list, grace " + description);
    for (int change = 0; change < 5; change++) {
      agent.publishChange();
      agent.runFor(ANNOUNCEMENT_DEADLINE_MILLIS + random.nextInt(3000));
    }
    assertEquals(agent.version, agent.receivedVersion, "grace " + description);
    assertTrue(
        agent.maxDelayMillis <= ANNOUNCEMENT_DEADLINE_MILLIS,
        agent.maxDelayMillis + " ms, grace " + description);
    assertTrue(agent.maxOpenPolls <= 2, agent.maxOpenPolls + " polls, grace " + description);
  }

  /** One call that is never answered must not delay the next one. */
  @Test
  void callThatHangsDoesNotDelayTheNext() {
    assertDelayWithinGrace(
        (agent, random) -> {
          agent.stallWatches();
          agent.behavior = SimulatedAgent.Behavior.UNRESPONSIVE;
          agent.runFor(random.nextInt(30_000));
          agent.polls.clear(); // calls from before stay open and are never answered
          agent.behavior = SimulatedAgent.Behavior.RESPONDS;
          agent.publishChange();
        });
  }

  @Test
  void addressChangeClosesASlowCall() {
    SimulatedAgent agent = new SimulatedAgent(2000, 40, 1);
    agent.responseDelayMillis = () -> 3000;
    agent.start();
    agent.runFor(1200);
    assertEquals(2, agent.polls.size());
    agent.responseDelayMillis = () -> 0;
    agent.policy.addressChanged(agent.nowMillis * NANOS_PER_MILLI);
    agent.runFor(5);
    assertEquals(agent.version, agent.receivedVersion);
    assertEquals(0, agent.polls.size());
  }
}
