package rushwood.server;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import rushwood.dispatch.TimerQueue;

/** A one-shot timer on an event loop. Used on that event loop only. */
final class EventLoopTimer implements TimerQueue.Timer {
  private final EventLoop eventLoop;
  private @Nullable Future<?> scheduled;
  private boolean closed;

  EventLoopTimer(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  @Override
  public void reschedule(long delayNanos, Runnable task) {
    cancel();
    scheduled = closed ? null : eventLoop.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
  }

  /** Cancels what is scheduled; later calls of {@link #reschedule} have no effect. */
  void close() {
    closed = true;
    cancel();
  }

  private void cancel() {
    if (scheduled != null) {
      scheduled.cancel(false);
    }
  }
}
