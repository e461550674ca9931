package rushwood.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushwood.api.NoPolicyActions;

class DeadlineQueueTest {
  private final List<Long> timers = new ArrayList<>();
  private final DeadlineQueue queue =
      new DeadlineQueue(
          new NoPolicyActions() {
            @Override
            public void wakeAt(long time) {
              timers.add(time);
            }
          });
  private final PendingRequest first = PolicyFixtures.pendingRead("first");
  private final PendingRequest second = PolicyFixtures.pendingRead("second");

  @Test
  void returnsExpiredRequestsInOrderOfDeadlineThenInsertion() {
    PendingRequest third = PolicyFixtures.pendingRead("third");
    queue.add(20, first);
    queue.add(10, second);
    queue.add(10, third);
    assertNull(queue.pollExpired(9));
    assertSame(second, queue.pollExpired(30));
    assertSame(third, queue.pollExpired(30));
    assertSame(first, queue.pollExpired(30));
    assertNull(queue.pollExpired(30));
  }

  @Test
  void skipsFinishedRequests() {
    queue.add(10, first);
    queue.add(20, second);
    first.finish();
    assertSame(second, queue.pollExpired(20));
  }

  @Test
  void requestsTimerOnlyIfEarlier() {
    queue.add(20, first);
    queue.add(30, second);
    queue.requestTimer(10);
    assertEquals(List.of(20L, 10L), timers);
    queue.rearm(25);
    assertEquals(List.of(20L, 10L, 20L), timers);
  }
}
