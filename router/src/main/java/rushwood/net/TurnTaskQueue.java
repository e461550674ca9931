package rushwood.net;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import rushwood.dispatch.TurnBudget;

/**
 * Runs tasks in the order in which they were added, after the sockets were read in the current turn
 * of the event loop. Tasks for which a turn has no time run in the next turns; at least one runs in
 * each. What a task throws propagates to the event loop; the tasks behind it run in the next turn.
 * Used on one event loop only.
 */
final class TurnTaskQueue {
  private final TurnBudget budget;
  private final Queue<Runnable> tasks = new ArrayDeque<>();
  private boolean isRunScheduled;

  TurnTaskQueue(TurnBudget budget) {
    this.budget = budget;
  }

  /** Adds a task. The event loop is always the same one. */
  void add(EventLoop eventLoop, Runnable task) {
    tasks.add(task);
    if (!isRunScheduled) {
      isRunScheduled = true;
      eventLoop.execute(() -> run(eventLoop));
    }
  }

  private void run(EventLoop eventLoop) {
    try {
      while (!tasks.isEmpty() && budget.hasTime()) {
        Objects.requireNonNull(tasks.poll()).run();
      }
    } finally {
      isRunScheduled = !tasks.isEmpty();
      if (isRunScheduled) {
        runInNextTurn(eventLoop, () -> run(eventLoop));
      }
    }
  }

  /** Runs the task in the next turn. Netty collects due scheduled tasks once in each turn. */
  static void runInNextTurn(EventLoop eventLoop, Runnable task) {
    eventLoop.schedule(task, 0, TimeUnit.NANOSECONDS);
  }
}
