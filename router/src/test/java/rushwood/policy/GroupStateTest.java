package rushwood.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class GroupStateTest {
  @Test
  void drawsHostsInProportionToTheirWeights() {
    HostState light = PolicyFixtures.host("a", 1);
    HostState heavy = PolicyFixtures.host("b", 3);
    SplittableRandom random = new SplittableRandom(1);
    Map<HostState, Integer> draws = new HashMap<>();
    for (int i = 0; i < 10_000; i++) {
      List<HostState> candidates = new ArrayList<>(List.of(light, heavy));
      draws.merge(GroupState.drawByWeight(candidates, random), 1, Integer::sum);
      assertEquals(1, candidates.size());
    }
    assertEquals(7500, draws.get(heavy), 150);
  }

  @Test
  void keepsMembersInOrderOfIdAndForgetsAPrimaryThatLeaves() {
    GroupState group = new GroupState();
    HostState second = PolicyFixtures.host("b", 1);
    HostState first = PolicyFixtures.host("a", 1);
    group.add(second);
    group.add(first);
    group.setPrimary(second);
    assertEquals(List.of(first, second), group.members());
    assertEquals(List.of(first), group.replicas());
    second.leaveGroup();
    assertNull(group.primary());
    assertEquals(List.of(first), group.members());
  }
}
