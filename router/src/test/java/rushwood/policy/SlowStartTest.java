package rushwood.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushwood.policy.SlowStartSimulation.Situation;

class SlowStartTest {
  private static final int SEEDS = 40;
  private static final int[] ROUTER_COUNTS = {1, 5, 30, 120};

  @Test
  void attemptsOfAllRoutersStayWithinCapacityOfColdHost() {
    List<String> exceeded = new ArrayList<>();
    long attemptsAtColdHosts = 0;
    int runs = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      for (Situation situation : Situation.values()) {
        int routers = ROUTER_COUNTS[(seed + situation.ordinal()) % ROUTER_COUNTS.length];
        SlowStartSimulation simulation = new SlowStartSimulation(seed, routers, situation);
        simulation.run();
        runs++;
        attemptsAtColdHosts += simulation.attemptsAtColdHost();
        if (simulation.maxExcess() > 0) {
          exceeded.add(
              String.format(
                  "%s with %d routers, seed %d: %.1f above %.1f",
                  situation, routers, seed, simulation.maxExcess(), simulation.initialCapacity()));
        }
      }
    }
    assertEquals(240, runs);
    assertTrue(attemptsAtColdHosts > 20_000, "attempts at cold hosts: " + attemptsAtColdHosts);
    assertEquals(List.of(), exceeded);
  }
}
