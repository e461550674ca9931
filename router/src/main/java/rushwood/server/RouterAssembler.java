package rushwood.server;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetric;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import io.netty.channel.SingleThreadEventLoop;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import rushwood.api.LogLevel;
import rushwood.api.PolicyActions;
import rushwood.config.OperatorSettings;
import rushwood.config.RouterConfig;
import rushwood.discovery.DiscoveryClient;
import rushwood.discovery.DiscoveryConnector;
import rushwood.discovery.EndpointList;
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
import rushwood.overload.OverloadController;
import rushwood.overload.OverloadCounts;

/**
 * Creates the components of a router and wires them together. Used on the event loop only.
 *
 * <p>Each component that draws random numbers has its own generator, derived from the configured
 * seed, so that the draws of one component do not change those of another.
 */
final class RouterAssembler {
  /**
   * Descriptors of {@code limits.sockets} that are not available to admitted clients and backend
   * connections: 30 are for files, the event loop, the listener and discovery, the rest for client
   * connections that are accepted above the limit for a moment or are being refused or closed.
   */
  private static final int RESERVED_SOCKETS = 54;

  private static final int LOGGED_STACK_FRAMES = 3;

  /** The allocator of all channels. */
  private static final ByteBufAllocator ALLOCATOR = ByteBufAllocator.DEFAULT;

  private final RouterConfig config;
  private final OperatorSettings operatorSettings;
  private final SingleThreadEventLoop eventLoop;
  private final Counters counters = new Counters();
  private final EventLoopClock clock;
  private final TimerQueue timerQueue;
  private final RateLimitedLogger logger;
  private final DescriptorBudget descriptorBudget;
  private final RequestPathFactory requestPathFactory;

  @SuppressWarnings("NullAway.Init") // set by createPolicy, which createDispatcher calls
  private OverloadController overloadController;

  RouterAssembler(
      RouterConfig config, OperatorSettings operatorSettings, SingleThreadEventLoop eventLoop) {
    this.config = config;
    this.operatorSettings = operatorSettings;
    this.eventLoop = eventLoop;
    clock = EventLoopClock.system(eventLoop::executeAfterEventLoopIteration);
    timerQueue = new TimerQueue(clock, new EventLoopTimer(eventLoop), counters);
    logger = new RateLimitedLogger(clock);
    descriptorBudget = new DescriptorBudget(config.maxSockets() - RESERVED_SOCKETS);
    requestPathFactory =
        new RequestPathFactory(
            config,
            clock,
            timerQueue,
            counters,
            descriptorBudget,
            new ConnectBackoff(
                new SplittableRandom(~config.seed()),
                operatorSettings.overload().connectBackoff()));
  }

  private StallReporter createStallReporter(
      FrontendServer frontend, BackendConnector backendConnector) {
    ByteBufAllocatorMetric channels = ((ByteBufAllocatorMetricProvider) ALLOCATOR).metric();
    LongSupplier directMemoryBytes =
        () ->
            channels.usedDirectMemory()
                + frontend.clientMemoryBytes()
                + backendConnector.responseMemoryBytes();
    StallReporter reporter = new StallReporter(clock, directMemoryBytes, logger);
    counters.register("direct_memory_bytes", directMemoryBytes);
    counters.register("longest_turn_millis", reporter::longestTurnMillis);
    return reporter;
  }

  /**
   * Creates the components. The dispatcher starts with the last known endpoint list.
   *
   * @param onCompleteList runs whenever discovery has sent a complete endpoint list
   */
  RouterComponents assemble(Runnable onCompleteList) {
    counters.setExceptionListener(this::logException);
    BackendConnector backendConnector = new BackendConnector(eventLoop, ALLOCATOR, counters);
    RequestDispatcher dispatcher = createDispatcher(backendConnector);
    FrontendServer frontend = createFrontend(dispatcher);
    DiscoveryClient discoveryClient =
        createDiscoveryClient(
            new EndpointListHandler(dispatcher, counters, logger, onCompleteList));
    loadLastKnownEndpoints(dispatcher);
    scheduleHeartbeat(createStallReporter(frontend, backendConnector));
    return new RouterComponents(
        clock, timerQueue, counters, logger, dispatcher, frontend, discoveryClient);
  }

  /**
   * Wakes the event loop at a fixed interval even if it is idle, so that the clock can tell a
   * paused process from an idle one. Each time, reports if the event loop was stalled.
   */
  private void scheduleHeartbeat(StallReporter stallReporter) {
    stallReporter.check();
    timerQueue.schedule(
        clock.now() + EventLoopClock.MAX_TURN_INTERVAL_NANOS,
        () -> scheduleHeartbeat(stallReporter));
  }

  private void logException(Throwable thrown) {
    List<StackTraceElement> frames =
        List.of(thrown.getStackTrace()).stream().limit(LOGGED_STACK_FRAMES).toList();
    logger.log(LogLevel.ERROR, "unexpected exception: " + thrown + " at " + frames);
  }

  private RequestDispatcher createDispatcher(BackendConnector backendConnector) {
    return requestPathFactory.createDispatcher(backendConnector, logger::log, this::createPolicy);
  }

  private OverloadController createPolicy(PolicyActions actions) {
    overloadController = requestPathFactory.createPolicy(operatorSettings.overload(), actions);
    OverloadCounts counts = overloadController.counts();
    counters.register("overload_repeated_requests", counts::repeatedRequests);
    counters.register("overload_returned_as_advised", counts::returnedAsAdvised);
    counters.register("overload_reserved", counts::reserved);
    counters.register("overload_unreserved", counts::unreserved);
    counters.register("overload_retries_denied", counts::retriesDenied);
    counters.register("overload_ambiguous_writes_failed", counts::ambiguousWritesFailed);
    counters.register("overload_state_changes", counts::stateChanges);
    return overloadController;
  }

  private FrontendServer createFrontend(RequestDispatcher dispatcher) {
    return requestPathFactory.createFrontend(
        dispatcher,
        new ConnectionAdmission(
            descriptorBudget.maxClientConnections(clock.now()),
            config.settings().maxRetryAfterNanos()),
        () -> overloadController.retryAfterForRefusedConnection(clock.now()),
        new SplittableRandom(config.seed() + 2));
  }

  private DiscoveryClient createDiscoveryClient(DiscoveryClient.Listener listener) {
    return new DiscoveryClient(
        new DiscoveryConnector(eventLoop),
        clock,
        timerQueue,
        new DiscoveryClient.Settings(
            config.discoveryAddress(), config.drainGraceNanos(), lastKnownVersion()),
        new SplittableRandom(config.seed() + 1),
        listener);
  }

  /** Returns the version of the last known endpoint list, 0 if it has none or is missing. */
  private long lastKnownVersion() {
    Optional<EndpointList> list = config.lastKnownEndpoints();
    return list.isPresent() ? list.get().version().orElse(0) : 0;
  }

  private void loadLastKnownEndpoints(RequestDispatcher dispatcher) {
    List<EndpointAddress> endpoints = List.of();
    if (config.lastKnownEndpoints().isPresent()) {
      EndpointList list = config.lastKnownEndpoints().get();
      for (String problem : list.problems()) {
        logger.log(
            LogLevel.WARN, "ignored an invalid part of the last known endpoint list: " + problem);
      }
      endpoints = list.endpoints();
    }
    dispatcher.endpointsReplaced(endpoints, true);
  }
}
