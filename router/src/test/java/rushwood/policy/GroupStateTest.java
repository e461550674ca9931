package rushwood.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.ZoneId;

class GroupStateTest {
  private static HostState host(String id, double weight) {
    HostState host = new HostState(new HostId(id), 1);
    host.endpoint =
        new Endpoint(
            host.id, new GroupId(0), new ZoneId("z"), weight, 0, false, Endpoint.State.READY);
    return host;
  }

  @Test
  void drawsHostsInProportionToTheirWeights() {
    HostState light = host("a", 1);
    HostState heavy = host("b", 3);
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
    HostState second = host("b", 1);
    HostState first = host("a", 1);
    group.add(second);
    group.add(first);
    group.primary = second;
    assertEquals(List.of(first, second), group.members);
    assertEquals(List.of(first), group.replicas());
    second.leaveGroup();
    assertNull(group.primary);
    assertEquals(List.of(first), group.members);
  }
}
