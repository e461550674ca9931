package rushwood.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ReplicaSelectorTest {
  @Test
  void drawsHostsInProportionToWeight() {
    HostState light = PolicyFixtures.host("a", 1);
    HostState heavy = PolicyFixtures.host("b", 3);
    SplittableRandom random = new SplittableRandom(1);
    Map<HostState, Integer> draws = new HashMap<>();
    for (int i = 0; i < 10_000; i++) {
      List<HostState> candidates = new ArrayList<>(List.of(light, heavy));
      draws.merge(ReplicaSelector.drawByWeight(candidates, random), 1, Integer::sum);
      assertEquals(1, candidates.size());
    }
    assertEquals(7500, draws.get(heavy), 150);
  }
}
