package rushwood.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class WaitQueueTest {
  private final WaitQueue queue = new WaitQueue();
  private final PendingRequest first = PolicyFixtures.pendingRead("first");
  private final PendingRequest second = PolicyFixtures.pendingRead("second");
  private final PendingRequest third = PolicyFixtures.pendingRead("third");

  private void addAll() {
    List.of(first, second, third).forEach(queue::add);
  }

  @Test
  void findsSmallestPriorityAndFirstAddedOfEqualOnes() {
    addAll();
    Map<PendingRequest, Long> priorities = Map.of(first, 5L, second, 3L, third, 3L);
    assertSame(second, queue.findFirst(priorities::get, each -> true));
    assertSame(first, queue.findFirst(priorities::get, each -> each == first));
    assertNull(queue.findFirst(priorities::get, each -> false));
  }

  @Test
  void testsEligibilityOnlyOfBetterPriorities() {
    addAll();
    Map<PendingRequest, Long> priorities = Map.of(first, 3L, second, 5L, third, 1L);
    List<PendingRequest> tested = new ArrayList<>();
    queue.findFirst(priorities::get, tested::add);
    assertEquals(List.of(first, third), tested);
  }
}
