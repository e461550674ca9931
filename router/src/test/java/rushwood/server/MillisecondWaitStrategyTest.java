package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandler;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class MillisecondWaitStrategyTest {
  private static final int TIMER_COUNT = 100;

  /** An event loop with nothing but timers polls its sockets about once per timer. */
  @Test
  void doesNotSpinBeforeTimers() throws Exception {
    AtomicInteger polls = new AtomicInteger();
    IoHandlerFactory countingFactory =
        NioIoHandler.newFactory(
            SelectorProvider.provider(),
            () ->
                (now, hasTasks) -> {
                  polls.incrementAndGet();
                  return hasTasks ? now.get() : SelectStrategy.SELECT;
                });
    EventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, MillisecondWaitStrategy.wrap(countingFactory));
    try {
      CountDownLatch done = new CountDownLatch(TIMER_COUNT);
      long[] maxDelayNanos = new long[1];
      // In one task: a timer that another thread schedules wakes the event loop for a poll.
      group.execute(
          () -> {
            for (int i = 1; i <= TIMER_COUNT; i++) {
              long dueTime = System.nanoTime() + i * 10_300_000L;
              group.schedule(
                  () -> {
                    maxDelayNanos[0] = Math.max(maxDelayNanos[0], System.nanoTime() - dueTime);
                    done.countDown();
                  },
                  dueTime - System.nanoTime(),
                  TimeUnit.NANOSECONDS);
            }
          });
      assertTrue(done.await(20, TimeUnit.SECONDS));
      assertTrue(
          polls.get() < TIMER_COUNT * 3 / 2, polls + " polls for " + TIMER_COUNT + " timers");
      assertTrue(
          maxDelayNanos[0] < 500_000_000,
          "a timer fired " + maxDelayNanos[0] / 1_000_000 + " ms late");
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }
}
