package rushwood.server;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import rushwood.dispatch.TimerQueue;

/** A one-shot timer on an event loop. Used on that event loop only. */
final class EventLoopTimer implements TimerQueue.Timer {
  private final EventLoop eventLoop;
  private @Nullable Future<?> scheduledTask;
  private boolean closed;

  EventLoopTimer(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  @Override
  public void reschedule(long delayNanos, Runnable task) {
    cancel();
    scheduledTask = closed ? null : eventLoop.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
  }

  /** Cancels the scheduled task; later calls of {@link #reschedule} have no effect. */
  void close() {
    closed = true;
    cancel();
  }

  private void cancel() {
    if (scheduledTask != null) {
      scheduledTask.cancel(false);
    }
  }
}
