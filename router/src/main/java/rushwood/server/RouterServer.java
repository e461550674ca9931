package rushwood.server;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import rushwood.api.LogLevel;
import rushwood.config.OperatorSettings;
import rushwood.config.RouterConfig;
import rushwood.discovery.CachedListLease;
import rushwood.net.ClientListener;

/**
 * One running router.
 *
 * <p>The main thread calls {@link #start}, the shutdown hook calls {@link #stop}; everything else
 * runs on the event loop. This object's lock orders the two calls: {@code stop} sees either no
 * listener or a bound one.
 */
public final class RouterServer {
  private final RouterConfig config;
  private final OperatorSettings operatorSettings;
  private final Map<String, String> environment;
  private final HangUpSignal hangUpSignal;
  private final CachedListLease cachedListLease; // in terms of System.nanoTime
  private final MultiThreadIoEventLoopGroup eventLoopGroup =
      new MultiThreadIoEventLoopGroup(1, MillisecondWaitStrategy.wrap(NioIoHandler.newFactory()));
  private final SingleThreadEventLoop eventLoop = (SingleThreadEventLoop) eventLoopGroup.next();
  private final CountDownLatch firstListReceived = new CountDownLatch(1);
  private final CountDownLatch stopped = new CountDownLatch(1);
  private volatile boolean stopRequested;
  private @Nullable LongConsumer shutdownTask; // takes the time of the signal; guarded by this
  private boolean stopping; // used on the event loop only

  /**
   * Creates a router that does nothing until {@link #start}. Has to be called as soon as the
   * configuration is read.
   *
   * @param environment the environment variables, which name the configuration file; it is read
   *     again on SIGHUP
   * @param hangUpSignal the handler of SIGHUP, which keeps a signal that arrives during the start
   * @param startedAt the {@link System#nanoTime} at which the program started
   */
  public RouterServer(
      RouterConfig config,
      OperatorSettings operatorSettings,
      Map<String, String> environment,
      HangUpSignal hangUpSignal,
      long startedAt) {
    this.config = config;
    this.operatorSettings = operatorSettings;
    this.environment = environment;
    this.hangUpSignal = hangUpSignal;
    cachedListLease = new CachedListLease(startedAt, System.nanoTime(), config.drainGraceNanos());
  }

  /**
   * Runs the warm-up, starts the router and returns once it listens for clients. Returns without
   * listening if {@link #stop} was called in the meantime. Called by the main thread.
   *
   * @throws Exception if the warm-up fails or the address cannot be bound
   */
  public void start() throws Exception {
    warmUp();
    RouterComponents components = eventLoop.submit(this::startComponents).get();
    awaitEndpointList();
    listen(components);
  }

  /** Runs the warm-up, unless there is no directory for its sockets. */
  private void warmUp() throws Exception {
    Path directory;
    try {
      directory = WarmupDirectory.create(environment);
    } catch (IOException e) {
      Logger.warn("starting without the warm-up, which has no directory: {}", e);
      return;
    }
    new Warmup(config, eventLoopGroup, eventLoop, ByteBufAllocator.DEFAULT).run(directory);
  }

  private RouterComponents startComponents() {
    RouterComponents components =
        new RouterAssembler(config, operatorSettings, eventLoop)
            .assemble(firstListReceived::countDown);
    components.discoveryClient().start();
    scheduleLeaseEnd(components);
    ConfigApplier applier =
        new ConfigApplier(config, components.discoveryClient(), components.logger());
    new ConfigReloader(
            environment,
            eventLoop,
            components.clock(),
            components.timerQueue(),
            components.counters(),
            components.logger(),
            newConfig -> applyUnlessStopping(applier, newConfig))
        .reloadOn(hangUpSignal);
    return components;
  }

  private void applyUnlessStopping(ConfigApplier applier, RouterConfig newConfig) {
    if (!stopping) {
      applier.apply(newConfig);
    }
  }

  /** Stops using the hosts of the last known list once its lease has ended. */
  private void scheduleLeaseEnd(RouterComponents components) {
    long remainingNanos = cachedListLease.endsAt() - System.nanoTime();
    if (remainingNanos <= 0) {
      components.dispatcher().suspendEndpoints();
    } else {
      components
          .timerQueue()
          .schedule(
              components.clock().now() + remainingNanos, () -> endCachedListLease(components));
    }
  }

  private void endCachedListLease(RouterComponents components) {
    if (!isFirstListReceived()) {
      components.dispatcher().suspendEndpoints();
      components
          .logger()
          .log(LogLevel.WARN, "no endpoint list received: using no host until one comes");
    }
  }

  private boolean isFirstListReceived() {
    return firstListReceived.getCount() == 0;
  }

  /**
   * Waits for an endpoint list from discovery before clients are accepted, because endpoints that
   * are ready in the last known list may have been removed. {@link CachedListLease} says how long.
   */
  private void awaitEndpointList() throws InterruptedException {
    long now = System.nanoTime();
    long waitNanos = cachedListLease.waitsUntil(now) - now;
    if (firstListReceived.await(waitNanos, TimeUnit.NANOSECONDS)) {
      return;
    }
    if (System.nanoTime() < cachedListLease.endsAt()) {
      Logger.warn("no endpoint list received: starting with the last known one");
    } else {
      Logger.warn("no endpoint list received: starting without one");
    }
  }

  /**
   * Binds the listen address. A concurrent {@link #stop} waits for the bind and then shuts down
   * gracefully, because clients may have connected.
   */
  private synchronized void listen(RouterComponents components)
      throws IOException, InterruptedException {
    if (stopRequested) {
      return;
    }
    ClientListener listener =
        ClientListener.bind(eventLoopGroup, config.listenAddress(), components.frontend());
    shutdownTask = signalledAt -> startShutdown(components, listener, signalledAt);
    Logger.info("{} serves at {}", config.name(), listener.localAddress());
  }

  /**
   * Shuts down gracefully as {@link ShutdownSequence} describes, and blocks until that is done.
   * Returns at once if the router does not listen yet. Called by the shutdown hook; the event loop
   * is not stopped and ends with the process.
   */
  public void stop() {
    long signalledAt = System.nanoTime();
    stopRequested = true;
    LongConsumer task;
    synchronized (this) {
      task = shutdownTask;
    }
    if (task == null) {
      Logger.info("shutting down: not listening yet");
      return;
    }
    eventLoop.execute(() -> task.accept(signalledAt));
    awaitStopped(signalledAt);
  }

  /** Waits for the shutdown, but not past the time at which the Java runtime has to exit. */
  private void awaitStopped(long signalledAt) {
    long deadline =
        signalledAt + ShutdownSequence.maxDurationNanos(config.maxRequestTimeoutNanos());
    try {
      if (!stopped.await(deadline - System.nanoTime(), TimeUnit.NANOSECONDS)) {
        Logger.warn("the shutdown did not finish in time");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void startShutdown(
      RouterComponents components, ClientListener listener, long signalledAt) {
    stopping = true;
    Logger.info(
        "shutting down: {} requests in flight, {} queued behind them",
        components.dispatcher().unansweredRequests(),
        components.frontend().queuedRequests());
    new ShutdownSequence(
            components,
            listener,
            config.maxRequestTimeoutNanos(),
            System.nanoTime() - signalledAt,
            () -> close(components))
        .start();
  }

  private void close(RouterComponents components) {
    components.frontend().close();
    components.discoveryClient().close();
    components.dispatcher().close();
    Logger.info("counters {}", components.counters());
    stopped.countDown();
  }
}
