package rushwood.server;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import rushwood.config.OperatorSettings;
import rushwood.config.RouterConfig;
import rushwood.net.ClientListener;

/**
 * One running router.
 *
 * <p>{@link #start} and {@link #stop} are called by two threads, the main thread and the shutdown
 * hook; all else runs on the event loop. This object's lock orders the two: a stop sees either no
 * listener or one that is bound.
 */
public final class RouterServer {
  /**
   * How long a start waits for discovery, which runs on this machine and usually answers at once.
   */
  private static final long FIRST_LIST_TIMEOUT_MILLIS = 1000;

  private final RouterConfig config;
  private final OperatorSettings operatorSettings;
  private final Map<String, String> environment;
  private final HangUpSignal hangUpSignal;
  private final MultiThreadIoEventLoopGroup eventLoopGroup =
      new MultiThreadIoEventLoopGroup(1, MillisecondWaitStrategy.wrap(NioIoHandler.newFactory()));
  private final SingleThreadEventLoop eventLoop = (SingleThreadEventLoop) eventLoopGroup.next();
  private final CountDownLatch firstListReceived = new CountDownLatch(1);
  private final CountDownLatch stopped = new CountDownLatch(1);
  private volatile boolean stopRequested;
  private @Nullable LongConsumer shutdown; // set under the lock once the router listens
  private boolean stopping; // used on the event loop only

  /**
   * Creates a router that does nothing until {@link #start}.
   *
   * @param environment names the configuration's file, which is read again on SIGHUP
   * @param hangUpSignal receives SIGHUP, also before this router is ready for it
   */
  public RouterServer(
      RouterConfig config,
      OperatorSettings operatorSettings,
      Map<String, String> environment,
      HangUpSignal hangUpSignal) {
    this.config = config;
    this.operatorSettings = operatorSettings;
    this.environment = environment;
    this.hangUpSignal = hangUpSignal;
  }

  /**
   * Warms the code up, starts the router and returns once it listens for clients. Returns without
   * listening if {@link #stop} was called meanwhile. Called by the main thread.
   *
   * @throws Exception if the warm-up fails or the address cannot be bound
   */
  public void start() throws Exception {
    new Warmup(config, eventLoopGroup, eventLoop, ByteBufAllocator.DEFAULT).run();
    RouterComponents components = eventLoop.submit(this::startComponents).get();
    awaitEndpointList();
    listen(components);
  }

  private RouterComponents startComponents() {
    RouterComponents components =
        new RouterAssembler(config, operatorSettings, eventLoop)
            .assemble(firstListReceived::countDown);
    components.discoveryClient().start();
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
        .listen(hangUpSignal);
    return components;
  }

  private void applyUnlessStopping(ConfigApplier applier, RouterConfig newConfig) {
    if (!stopping) {
      applier.apply(newConfig);
    }
  }

  /**
   * Waits for a list from discovery before clients come, as endpoints that the last known list
   * calls ready may have been removed. Without discovery the last known list is used.
   */
  private void awaitEndpointList() throws InterruptedException {
    if (!firstListReceived.await(FIRST_LIST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
      Logger.warn("no endpoint list received: starting with the last known one");
    }
  }

  /**
   * Binds the address. A stop that comes while this binds waits for it and then serves first, as
   * clients may have connected.
   */
  private synchronized void listen(RouterComponents components)
      throws IOException, InterruptedException {
    if (stopRequested) {
      return;
    }
    ClientListener listener =
        ClientListener.bind(eventLoopGroup, config.listenAddress(), components.frontend());
    shutdown = signalledAt -> startShutdown(components, listener, signalledAt);
    Logger.info("{} serves at {}", config.name(), listener.localAddress());
  }

  /**
   * Shuts down gracefully, see {@link ShutdownSequence}, and blocks until that is done; returns at
   * once if the router does not listen yet. Called by the shutdown hook; the event loop itself ends
   * with the process.
   */
  public void stop() {
    long signalledAt = System.nanoTime();
    stopRequested = true;
    LongConsumer task;
    synchronized (this) {
      task = shutdown;
    }
    if (task == null) {
      Logger.info("shutting down: not listening yet");
      return;
    }
    eventLoop.execute(() -> task.accept(signalledAt));
    awaitStopped(signalledAt);
  }

  /** Waits no longer than until the process has to exit, whatever the event loop is busy with. */
  private void awaitStopped(long signalledAt) {
    long end = signalledAt + ShutdownSequence.maxDurationNanos(config.maxRequestTimeoutNanos());
    try {
      if (!stopped.await(end - System.nanoTime(), TimeUnit.NANOSECONDS)) {
        Logger.warn("the shutdown was not finished in time");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void startShutdown(
      RouterComponents components, ClientListener listener, long signalledAt) {
    stopping = true;
    Logger.info(
        "shutting down: {} requests in flight", components.dispatcher().unansweredRequests());
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
