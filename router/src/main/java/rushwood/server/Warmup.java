package rushwood.server;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.ZoneId;
import rushwood.config.RouterConfig;
import rushwood.dispatch.Counters;
import rushwood.dispatch.EndpointAddress;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.RequestDispatcher;
import rushwood.dispatch.TimerQueue;
import rushwood.net.BackendConnector;
import rushwood.net.FrontendServer;
import rushwood.overload.ConnectBackoff;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.DescriptorBudget;
import rushwood.overload.OverloadSettings;

/**
 * Sends requests through a temporary router before the real one listens, so that the classes are
 * loaded and the code is compiled by then. Without a warm-up the first second of service takes a
 * whole core; with only part of a core the first clients would wait past their deadlines.
 *
 * <p>{@link WarmupTraffic} provides the clients and backends, on sockets in a temporary directory.
 * {@link #run} is called by the main thread; everything else runs on the event loop.
 */
final class Warmup {
  private static final int BACKEND_COUNT = 4;

  /** Leaves 24 descriptors for backend connections, twice the number of concurrent requests. */
  private static final int DESCRIPTORS_PER_CLIENT = 5;

  /**
   * The JIT compiler compiles a method after 200 calls; with this many requests, rarely called
   * methods reach that number too.
   */
  private static final int MAX_REQUESTS = 6000;

  /** A longer warm-up would delay the start by more than it saves. */
  private static final long MAX_DURATION_NANOS = 900_000_000;

  /** Interval of the checks whether the warm-up is over. */
  private static final long CHECK_INTERVAL_NANOS = 10_000_000;

  private final RouterConfig config;
  private final EventLoopGroup eventLoopGroup;
  private final SingleThreadEventLoop eventLoop;
  private final ByteBufAllocator allocator;
  private final Counters counters = new Counters();
  private final EventLoopTimer timer;
  private final CompletableFuture<Counters> finished = new CompletableFuture<>();

  /**
   * Creates a warm-up with the settings of the real router.
   *
   * @param eventLoopGroup the group whose only event loop is {@code eventLoop}
   * @param allocator allocates the buffers of the connections to backends
   */
  Warmup(
      RouterConfig config,
      EventLoopGroup eventLoopGroup,
      EventLoop eventLoop,
      ByteBufAllocator allocator) {
    this.config = config;
    this.eventLoopGroup = eventLoopGroup;
    this.eventLoop = (SingleThreadEventLoop) eventLoop;
    this.allocator = allocator;
    timer = new EventLoopTimer(eventLoop);
  }

  /**
   * Runs the warm-up and blocks until it is over, after about 0.9 s at the latest.
   *
   * @param directory an empty directory for its sockets, which is deleted at the end
   * @throws Exception if the sockets cannot be created or a component cannot be started
   */
  void run(Path directory) throws Exception {
    run(directory, MAX_DURATION_NANOS);
  }

  /**
   * Runs the warm-up and blocks until it is over.
   *
   * @param directory an empty directory for its sockets, which is deleted at the end
   * @return the counters of its requests, which tests check
   */
  Counters run(Path directory, long maxDurationNanos) throws Exception {
    WarmupTraffic traffic =
        new WarmupTraffic(eventLoopGroup, eventLoop, directory, config.settings().requestClasses());
    try {
      eventLoop.submit(() -> start(traffic, maxDurationNanos)).get();
      return finished.get();
    } finally {
      traffic.deleteSockets();
      Files.deleteIfExists(directory);
    }
  }

  private void start(WarmupTraffic traffic, long maxDurationNanos) {
    long endTime = System.nanoTime() + maxDurationNanos;
    EventLoopClock clock = EventLoopClock.system(eventLoop::executeAfterEventLoopIteration);
    RequestPathFactory requestPathFactory =
        new RequestPathFactory(
            config,
            clock,
            new TimerQueue(clock, timer, counters),
            counters,
            new DescriptorBudget(WarmupTraffic.CLIENT_COUNT * DESCRIPTORS_PER_CLIENT),
            new ConnectBackoff(new SplittableRandom(config.seed()), true));
    RequestDispatcher dispatcher =
        requestPathFactory.createDispatcher(
            createBackendConnector(traffic),
            (level, line) -> {}, // log lines of the warm-up are dropped
            actions -> requestPathFactory.createPolicy(OverloadSettings.DEFAULT, actions));
    FrontendServer frontend =
        requestPathFactory.createFrontend(
            dispatcher,
            new ConnectionAdmission(WarmupTraffic.CLIENT_COUNT, 0),
            () -> 0,
            new SplittableRandom(config.seed()));
    dispatcher.endpointsReplaced(createEndpoints(), true);
    traffic.start(frontend);
    finishWhenDone(traffic, dispatcher, endTime);
  }

  private BackendConnector createBackendConnector(WarmupTraffic traffic) {
    return new BackendConnector(
        new Bootstrap().group(eventLoop).channel(NioDomainSocketChannel.class),
        address -> traffic.backendAddress(),
        allocator,
        counters);
  }

  private static List<EndpointAddress> createEndpoints() {
    List<EndpointAddress> endpoints = new ArrayList<>();
    for (int i = 0; i < BACKEND_COUNT; i++) {
      boolean isPrimary = i == 0;
      Endpoint endpoint =
          new Endpoint(
              new HostId("h" + i),
              new GroupId(0),
              new ZoneId(""),
              1,
              0,
              isPrimary,
              Endpoint.State.READY);
      endpoints.add(new EndpointAddress(endpoint, new InetSocketAddress(0)));
    }
    return endpoints;
  }

  private void finishWhenDone(WarmupTraffic traffic, RequestDispatcher dispatcher, long endTime) {
    if (traffic.requestCount() < MAX_REQUESTS && System.nanoTime() < endTime) {
      eventLoop.schedule(
          () -> finishWhenDone(traffic, dispatcher, endTime),
          CHECK_INTERVAL_NANOS,
          TimeUnit.NANOSECONDS);
    } else {
      finish(traffic, dispatcher);
    }
  }

  private void finish(WarmupTraffic traffic, RequestDispatcher dispatcher) {
    timer.close();
    dispatcher.close();
    traffic.close();
    // Both sides see their connections closed within the next two turns of the event loop.
    eventLoop.schedule(
        () -> finished.complete(counters), 2 * CHECK_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
  }
}
