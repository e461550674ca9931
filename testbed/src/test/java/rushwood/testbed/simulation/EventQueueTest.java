package rushwood.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventQueueTest {
  private static final long START = 100;

  private final EventQueue events = new EventQueue(START);
  private final List<String> ran = new ArrayList<>();

  private Runnable note(String name) {
    return () -> ran.add(name + "@" + events.now());
  }

  @Test
  void eventsRunInOrderOfTimeAndThenOfScheduling() {
    events.schedule(130, note("late"));
    events.scheduleAtElapsed(20, note("first"));
    events.scheduleAfter(20, note("second"));
    events.schedule(90, note("passed"));
    while (events.runNext(50)) {
      assertEquals(events.now() - START, events.elapsed());
    }
    assertEquals(List.of("passed@100", "first@120", "second@120", "late@130"), ran);
  }

  @Test
  void eventAfterTheEndDoesNotRun() {
    events.scheduleAtElapsed(10, note("within"));
    events.scheduleAtElapsed(11, note("after"));
    assertTrue(events.runNext(10));
    assertFalse(events.runNext(10));
    assertEquals(List.of("within@110"), ran);
  }
}
