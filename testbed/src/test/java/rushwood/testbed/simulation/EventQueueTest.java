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
  private final List<String> runs = new ArrayList<>();

  private Runnable recordRun(String name) {
    return () -> runs.add(name + "@" + events.now());
  }

  @Test
  void eventsRunInOrderOfTimeAndThenOfScheduling() {
    events.schedule(130, recordRun("late"));
    events.scheduleAtElapsed(20, recordRun("first"));
    events.scheduleAfter(20, recordRun("second"));
    events.schedule(90, recordRun("past"));
    while (events.runNext(50)) {
      assertEquals(events.now() - START, events.elapsed());
    }
    assertEquals(List.of("past@100", "first@120", "second@120", "late@130"), runs);
  }

  @Test
  void eventAfterTheLimitDoesNotRun() {
    events.scheduleAtElapsed(10, recordRun("within"));
    events.scheduleAtElapsed(11, recordRun("after"));
    assertTrue(events.runNext(10));
    assertFalse(events.runNext(10));
    assertEquals(List.of("within@110"), runs);
  }
}
