package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rushwood.config.RouterConfig;
import rushwood.config.RouterConfigFixture;
import rushwood.dispatch.Counter;
import rushwood.dispatch.Counters;

class WarmupTest {
  /** Enough for a busy machine, where the 0.9 s of a real start may end before any answer. */
  private static final long MAX_DURATION_NANOS = TimeUnit.SECONDS.toNanos(3);

  /**
   * Guards against a warm-up that serves, rejects or queues no requests: it would leave that code
   * uncompiled without any visible failure.
   */
  @Test
  void runsTheCodeOfRealRequests(@TempDir Path folder) throws Exception {
    Path file = Files.writeString(folder.resolve("config.json"), RouterConfigFixture.VALID_CONFIG);
    UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false);
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    Counters counters =
        new Warmup(
                RouterConfig.read(Map.of("NODE_CONFIG", file.toString())),
                group,
                group.next(),
                allocator)
            .run(Files.createDirectory(folder.resolve("sockets")), MAX_DURATION_NANOS);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    assertTrue(counters.get(Counter.REQUESTS_SUCCEEDED) > 0, counters::toString);
    assertTrue(counters.get(Counter.REQUESTS_REJECTED) > 0, counters::toString);
    assertTrue(counters.get(Counter.CONNECTIONS_REUSED) > 0, counters::toString);
    assertEquals(0, counters.get(Counter.INVARIANTS_VIOLATED));
    assertEquals(0, counters.get(Counter.STATEMENTS_REJECTED));
    assertEquals(0, allocator.metric().usedHeapMemory(), "heap memory of unreleased buffers");
  }
}
