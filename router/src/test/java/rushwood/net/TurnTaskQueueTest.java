package rushwood.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushwood.dispatch.FakeEventLoop;
import rushwood.dispatch.TurnBudget;

class TurnTaskQueueTest {
  private final FakeEventLoop loop = new FakeEventLoop();
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final TurnTaskQueue queue =
      new TurnTaskQueue(new TurnBudget(loop.clock, 10 * FakeEventLoop.NANOS_PER_MILLI));
  private final List<String> ran = new ArrayList<>();

  private void add(String name, long millis) {
    queue.add(
        channel.eventLoop(),
        () -> {
          ran.add(name);
          loop.stall(millis);
        });
  }

  private void runTurn() {
    loop.clock.now();
    channel.runPendingTasks();
    loop.advanceBy(1); // ends the turn
  }

  @Test
  void tasksRunInOrderInOneTurnWhileThereIsTime() {
    add("a", 4);
    add("b", 5);
    add("c", 0);
    runTurn();
    assertEquals(List.of("a", "b", "c"), ran);
  }

  /** Guards against turns of the event loop that last as long as there is input to process. */
  @Test
  void tasksBeyondTheTimeOfATurnRunInTheNextOnesBeforeNewTasks() {
    add("a", 300);
    add("b", 300);
    add("c", 1);
    runFirstOfTurn("a");
    add("d", 1);
    runFirstOfTurn("a", "b");
    runTurn();
    assertEquals(List.of("a", "b", "c", "d"), ran);
  }

  private void runFirstOfTurn(String... expected) {
    loop.clock.now();
    channel.runScheduledPendingTasks();
    channel.runPendingTasks();
    assertEquals(List.of(expected), ran);
    loop.advanceBy(1);
  }

  /** Guards against one failing task after which no client is served any more. */
  @Test
  void tasksRunAfterOneThatFailsWithAnError() {
    queue.add(
        channel.eventLoop(),
        () -> {
          throw new StackOverflowError("of a task");
        });
    add("a", 1);
    assertThrows(StackOverflowError.class, this::runTurn); // Netty's event loop logs it
    runTurn();
    assertEquals(List.of("a"), ran);
    add("b", 1);
    runTurn();
    assertEquals(List.of("a", "b"), ran);
  }

  @Test
  void aTaskMayAddItselfAgain() {
    queue.add(channel.eventLoop(), () -> add("again", 0));
    runTurn();
    add("later", 0);
    runTurn();
    assertEquals(List.of("again", "later"), ran);
  }
}
