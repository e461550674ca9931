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
import java.util.concurrent.TimeUnit;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.RequestClass;
import rushwood.api.ZoneId;
import rushwood.config.RouterConfig;
import rushwood.dispatch.Counters;
import rushwood.dispatch.EndpointAddress;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.RequestDispatcher;
import rushwood.dispatch.TimerQueue;
import rushwood.net.BackendConnector;
import rushwood.net.FrontendServer;
import rushwood.net.WarmupPeers;
import rushwood.overload.ConnectBackoff;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.DescriptorBudget;
import rushwood.overload.OverloadSettings;

/**
 * Sends requests through a router of its own before the real one listens, so that its code is
 * loaded and compiled by then. Cold code takes a whole core in the first second; on a part of a
 * core clients would wait past their deadline for it.
 *
 * <p>Clients and backends are stand-ins of its own on Unix domain sockets in a temporary folder.
 * {@link #run} is called by the main thread; all else runs on the event loop.
 */
final class Warmup {
  private static final int CLIENT_COUNT = 12; // at once, so that some requests have to queue
  private static final int BACKEND_COUNT = 4;

  /** Leaves 24 descriptors to the backends, twice as many as there are requests at once. */
  private static final int DESCRIPTORS_PER_CLIENT = 5;

  /** The compiler takes a method after 200 calls; this many requests reach rare methods too. */
  private static final int MAX_REQUESTS = 6000;

  /** A longer warm-up made restarts longer than it saved. */
  private static final long MAX_DURATION_NANOS = 900_000_000;

  private static final long POLL_INTERVAL_NANOS = 10_000_000;

  /** One request in so many has a deadline that cannot be met. */
  private static final int EXPIRED_REQUEST_INTERVAL = 16;

  private static final int REQUEST_TIMEOUT_MILLIS = 2000;
  private static final String CLIENT_SOCKET = "c";
  private static final String BACKEND_SOCKET = "h";

  private final RouterConfig config;
  private final EventLoopGroup group;
  private final SingleThreadEventLoop eventLoop;
  private final ByteBufAllocator allocator;
  private final List<RequestClass> requestClasses;
  private final Counters counters = new Counters();
  private final EventLoopTimer timer;
  private final List<Channel> listeners = new ArrayList<>();
  private final ChannelGroup standInChannels;
  private final CompletableFuture<Counters> finished = new CompletableFuture<>();
  private Path folder;
  private RequestDispatcher dispatcher;
  private int requestCount;
  private boolean isOver;

  /**
   * Creates a warm-up with the settings that the real router has.
   *
   * @param group the group whose only event loop is {@code eventLoop}
   * @param allocator of the buffers of the requests sent to backends
   */
  Warmup(
      RouterConfig config, EventLoopGroup group, EventLoop eventLoop, ByteBufAllocator allocator) {
    this.config = config;
    this.group = group;
    this.eventLoop = (SingleThreadEventLoop) eventLoop;
    this.allocator = allocator;
    timer = new EventLoopTimer(eventLoop);
    standInChannels = new DefaultChannelGroup(eventLoop);
    requestClasses = config.settings().requestClasses();
  }

  /**
   * Runs the warm-up and blocks until it is over.
   *
   * @return the counters of its requests, by which a test sees that it still does something
   */
  Counters run() throws Exception {
    folder = Files.createTempDirectory("warmup");
    try {
      eventLoop.submit(this::start).get();
      return finished.get();
    } finally {
      Files.deleteIfExists(folder.resolve(CLIENT_SOCKET));
      Files.deleteIfExists(folder.resolve(BACKEND_SOCKET));
      Files.deleteIfExists(folder);
    }
  }

  private UnixDomainSocketAddress socketAddress(String name) {
    return UnixDomainSocketAddress.of(folder.resolve(name));
  }

  private void start() {
    long endTime = System.nanoTime() + MAX_DURATION_NANOS;
    EventLoopClock clock = EventLoopClock.system(eventLoop::executeAfterEventLoopIteration);
    RequestPathFactory requestPathFactory =
        new RequestPathFactory(
            config,
            clock,
            new TimerQueue(clock, timer, counters),
            counters,
            new DescriptorBudget(CLIENT_COUNT * DESCRIPTORS_PER_CLIENT),
            new ConnectBackoff(new SplittableRandom(config.seed()), true));
    dispatcher =
        requestPathFactory.createDispatcher(
            createBackendConnector(),
            line -> {}, // nothing is logged
            actions -> requestPathFactory.createPolicy(OverloadSettings.DEFAULT, actions));
    FrontendServer frontend =
        requestPathFactory.createFrontend(
            dispatcher,
            new ConnectionAdmission(CLIENT_COUNT, 0),
            () -> 0,
            new SplittableRandom(config.seed()));
    dispatcher.endpointsReplaced(createEndpoints(), true);
    listenForBackendConnections();
    listenForClients(frontend);
    awaitEnd(endTime);
  }

  private BackendConnector createBackendConnector() {
    return new BackendConnector(
        new Bootstrap().group(eventLoop).channel(NioDomainSocketChannel.class),
        address -> socketAddress(BACKEND_SOCKET),
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

  private void listenForBackendConnections() {
    ChannelHandler initializer =
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            standInChannels.add(channel);
            channel.pipeline().addLast(new WarmupPeers.Backend(requestCount));
          }
        };
    listeners.add(serverBootstrap(initializer).bind(socketAddress(BACKEND_SOCKET)).channel());
  }

  private void listenForClients(FrontendServer frontend) {
    listeners.add(
        serverBootstrap(frontend)
            .bind(socketAddress(CLIENT_SOCKET))
            .addListener(bound -> connectClients())
            .channel());
  }

  private ServerBootstrap serverBootstrap(ChannelHandler childHandler) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerDomainSocketChannel.class)
        .childHandler(childHandler);
  }

  private void connectClients() {
    for (int i = 0; i < CLIENT_COUNT; i++) {
      connectClient();
    }
  }

  /** Opens a client connection; each is replaced by a new one once it is closed. */
  private void connectClient() {
    if (isOver) {
      return;
    }
    standInChannels.add(
        new Bootstrap()
            .group(eventLoop)
            .channel(NioDomainSocketChannel.class)
            .handler(new WarmupPeers.Client(this::nextStatement, this::connectClient))
            .connect(socketAddress(CLIENT_SOCKET))
            .channel());
  }

  private String nextStatement() {
    RequestClass requestClass = requestClasses.get(requestCount % requestClasses.size());
    requestCount++;
    int timeoutMillis = requestCount % EXPIRED_REQUEST_INTERVAL == 0 ? 1 : REQUEST_TIMEOUT_MILLIS;
    String comment =
        "/* id="
            + requestCount
            + ",c="
            + requestClass.name()
            + ",d="
            + timeoutMillis
            + ",cluster=0 */";
    return requestClass.isWrite()
        ? "INSERT INTO state (uid, val) VALUES ('k', '\\x00') RETURNING val " + comment
        : "SELECT val FROM state WHERE uid = 'k' " + comment;
  }

  private void awaitEnd(long endTime) {
    if (requestCount < MAX_REQUESTS && System.nanoTime() < endTime) {
      eventLoop.schedule(() -> awaitEnd(endTime), POLL_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
    } else {
      end();
    }
  }

  private void end() {
    isOver = true;
    timer.close();
    listeners.forEach(Channel::close);
    dispatcher.close();
    standInChannels.close(); // unless closed here they keep two dozen descriptors open for good
    // What closing brings is over a turn or two of the event loop later.
    eventLoop.schedule(
        () -> finished.complete(counters), 2 * POLL_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
  }
}
