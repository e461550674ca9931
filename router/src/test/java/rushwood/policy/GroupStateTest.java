package rushwood.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;

class GroupStateTest {
  @Test
  void sortsMembersByIdAndClearsPrimaryThatLeaves() {
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
