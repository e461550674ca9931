package rushwood.lifecycle;

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

class WholeMillisTest {
  private static final int TIMES = 100;

  /**
   * An event loop with due times and nothing else looks at its sockets once for each, not all the
   * time before.
   */
  @Test
  void doesNotSpinBeforeDueTimes() throws Exception {
    AtomicInteger looks = new AtomicInteger();
    IoHandlerFactory plain =
        NioIoHandler.newFactory(
            SelectorProvider.provider(),
            () ->
                (now, hasTasks) -> {
                  looks.incrementAndGet();
                  return hasTasks ? now.get() : SelectStrategy.SELECT;
                });
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, WholeMillis.of(plain));
    try {
      CountDownLatch done = new CountDownLatch(TIMES);
      long[] latest = new long[1];
      for (int i = 1; i <= TIMES; i++) {
        long due = System.nanoTime() + i * 10_300_000L;
        group.schedule(
            () -> {
              latest[0] = Math.max(latest[0], System.nanoTime() - due);
              done.countDown();
            },
            due - System.nanoTime(),
            TimeUnit.NANOSECONDS);
      }
      assertTrue(done.await(20, TimeUnit.SECONDS));
      assertTrue(looks.get() < TIMES * 3 / 2, looks + " looks for " + TIMES + " due times");
      assertTrue(latest[0] < 500_000_000, "the latest was " + latest[0] / 1_000_000 + " ms late");
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }
}
