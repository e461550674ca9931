package rushwood.server;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import java.net.InetSocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.RequestClass;
import rushwood.api.ZoneId;
import rushwood.config.RouterConfig;
import rushwood.dispatch.Counters;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.RequestDispatcher;
import rushwood.dispatch.TimerQueue;
import rushwood.net.BackendConnector;
import rushwood.net.FrontendServer;
import rushwood.net.WarmupPeers;
import rushwood.overload.ConnectBackoff;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.DescriptorBudget;
import rushwood.overload.OverloadController;
import rushwood.overload.OverloadSettings;
import rushwood.policy.DefaultRoutingPolicy;

/**
 * Plays accesses through a router of its own before the real one is ready, from clients to hosts
 * that it has itself, over sockets in the file system: cold code costs a whole core in the first
 * second, and on part of a core clients would wait past their time for it.
 */
final class Warmup {
  private static final int CLIENT_COUNT = 12; // at once: some park, as in a busy second
  private static final int BACKEND_COUNT = 4;
  private static final int MAX_REQUESTS =
      6000; // accesses: the compiler takes a method after 200 calls, rare ones too
  private static final long MAX_DURATION_NANOS =
      900_000_000; // nanoseconds: more made restarts longer than it saved
  private static final long POLL_INTERVAL_NANOS = 10_000_000;

  private final RouterConfig config;
  private final EventLoopGroup group;
  private final SingleThreadEventLoop eventLoop;
  private final ByteBufAllocator allocator;
  private final List<RequestClass> requestClasses;
  private final Counters counters = new Counters();
  private final List<Channel> channels = new ArrayList<>();
  private final ChannelGroup peers;
  private final CompletableFuture<Counters> finished = new CompletableFuture<>();
  private Path folder;
  private RequestDispatcher dispatcher;
  private Future<?> timer;
  private int requestCount;
  private boolean isOver;

  Warmup(
      RouterConfig config, EventLoopGroup group, EventLoop eventLoop, ByteBufAllocator allocator) {
    this.config = config;
    this.group = group;
    this.eventLoop = (SingleThreadEventLoop) eventLoop;
    this.allocator = allocator;
    peers = new DefaultChannelGroup(eventLoop);
    requestClasses = config.settings().requestClasses();
  }

  /** What came of it, for whoever wants to know that it still does something. */
  Counters run() throws Exception {
    folder = Files.createTempDirectory("rehearsal");
    try {
      eventLoop.submit(this::start).get();
      return finished.get();
    } finally {
      Files.deleteIfExists(folder.resolve("c"));
      Files.deleteIfExists(folder.resolve("h"));
      Files.deleteIfExists(folder);
    }
  }

  private UnixDomainSocketAddress socketAddress(String name) {
    return UnixDomainSocketAddress.of(folder.resolve(name));
  }

  private void start() {
    long end = System.nanoTime() + MAX_DURATION_NANOS;
    EventLoopClock clock = EventLoopClock.system(eventLoop::executeAfterEventLoopIteration);
    TimerQueue timerQueue = new TimerQueue(clock, this::scheduleTimer, counters);
    BackendConnector backendConnector =
        new BackendConnector(
            new Bootstrap().group(eventLoop).channel(NioDomainSocketChannel.class),
            address -> socketAddress("h"),
            allocator,
            counters);
    ConnectBackoff connectBackoff = new ConnectBackoff(new SplittableRandom(config.seed()), true);
    DescriptorBudget descriptorBudget = new DescriptorBudget(CLIENT_COUNT * 5);
    dispatcher =
        new RequestDispatcher(
            clock,
            timerQueue,
            counters,
            new RequestDispatcher.ConnectionSettings(
                descriptorBudget,
                connectBackoff,
                config.connectTimeoutNanos(),
                config.idleTimeoutNanos(),
                true,
                config.drainGraceNanos()),
            backendConnector,
            backendConnector::probeStatement,
            () -> {},
            line -> {},
            actions ->
                new OverloadController(
                    config.settings(),
                    OverloadSettings.DEFAULT,
                    connectBackoff,
                    actions,
                    (overloadSignals, observedActions) ->
                        new DefaultRoutingPolicy(
                            config.settings(),
                            new SplittableRandom(config.seed()),
                            observedActions,
                            overloadSignals)));
    FrontendServer frontend =
        new FrontendServer(
            dispatcher,
            clock,
            timerQueue,
            counters,
            requestClasses,
            new ConnectionAdmission(CLIENT_COUNT, 0),
            descriptorBudget,
            () -> 0,
            new SplittableRandom(config.seed()));
    dispatcher.endpointsReplaced(endpoints(), true);
    listen(
        "h",
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            peers.add(channel);
            channel.pipeline().addLast(new WarmupPeers.Backend(requestCount));
          }
        });
    listen("c", frontend);
    awaitEnd(end);
  }

  private void listen(String name, ChannelHandler handler) {
    channels.add(
        new ServerBootstrap()
            .group(group)
            .channel(NioServerDomainSocketChannel.class)
            .childHandler(handler)
            .bind(socketAddress(name))
            .addListener(
                bound -> {
                  for (int i = 0; i < CLIENT_COUNT && name.equals("c"); i++) {
                    connect();
                  }
                })
            .channel());
  }

  private void connect() {
    if (!isOver) {
      peers.add(
          new Bootstrap()
              .group(eventLoop)
              .channel(NioDomainSocketChannel.class)
              .handler(new WarmupPeers.Client(this::nextStatement, this::connect))
              .connect(socketAddress("c"))
              .channel());
    }
  }

  private List<RequestDispatcher.EndpointAddress> endpoints() {
    List<RequestDispatcher.EndpointAddress> endpoints = new ArrayList<>();
    for (int i = 0; i < BACKEND_COUNT; i++) {
      endpoints.add(
          new RequestDispatcher.EndpointAddress(
              new Endpoint(
                  new HostId("h" + i),
                  new GroupId(0),
                  new ZoneId(""),
                  1,
                  0,
                  i == 0,
                  Endpoint.State.READY),
              new InetSocketAddress(0)));
    }
    return endpoints;
  }

  private String nextStatement() {
    RequestClass requestClass = requestClasses.get(requestCount++ % requestClasses.size());
    boolean isTooLate = requestCount % 16 == 0;
    String comment =
        "/* id="
            + requestCount
            + ",c="
            + requestClass.name()
            + ",d="
            + (isTooLate ? 1 : 2000)
            + ",cluster=0 */";
    return requestClass.isWrite()
        ? "INSERT INTO state (uid, val) VALUES ('k', '\\x00') RETURNING val " + comment
        : "SELECT val FROM state WHERE uid = 'k' " + comment;
  }

  private void scheduleTimer(long delay, Runnable task) {
    if (timer != null) {
      timer.cancel(false);
    }
    timer = isOver ? null : eventLoop.schedule(task, delay, TimeUnit.NANOSECONDS);
  }

  private void awaitEnd(long end) {
    if (requestCount < MAX_REQUESTS && System.nanoTime() < end) {
      eventLoop.schedule(() -> awaitEnd(end), POLL_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
      return;
    }
    isOver = true;
    timer.cancel(false);
    channels.forEach(Channel::close);
    dispatcher.close();
    peers.close(); // our ends of both sides: left open they kept two dozen descriptors for good
    // What closing brings is over a turn or two later.
    eventLoop.schedule(
        () -> finished.complete(counters), 2 * POLL_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
  }
}
