package rushwood.server;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;
import rushwood.api.PolicyActions;
import rushwood.config.OperatorSettings;
import rushwood.config.RouterConfig;
import rushwood.discovery.DiscoveryClient;
import rushwood.discovery.EndpointListParser;
import rushwood.dispatch.Counters;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.RequestDispatcher;
import rushwood.dispatch.TimerQueue;
import rushwood.net.BackendConnector;
import rushwood.net.FrontendServer;
import rushwood.overload.ConnectBackoff;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.DescriptorBudget;
import rushwood.overload.OverloadController;
import rushwood.policy.DefaultRoutingPolicy;

/** One running router: puts its parts together on one event loop, and ends them in order. */
public final class RouterServer {
  // The program's files, the loop, the listener, discovery: 30; and clients that the door lets in
  // or that linger.
  private static final int RESERVED_SOCKETS = 54;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  // A planned restart ends us no earlier than the longest deadline, 3 s of it at most, and 0.7 s
  // more after SIGTERM,
  // however soon we leave: until then clients are served on the connections they have, as the front
  // sends those that
  // lose theirs here for seconds still (closed after 0.55 s, half of the tries of two routers
  // failed meanwhile).
  private static final long STAYS = 3 * NANOS_PER_SECOND;
  private static final long STAYS_MORE = 700 * NANOS_PER_SECOND / 1000;
  private static final long LAST_ANSWER =
      NANOS_PER_SECOND / 5; // before that end: a stall, and the time to exit
  private static final long LAST_ACCESS =
      NANOS_PER_SECOND * 3 / 10; // before the last answer: most are answered in less
  // A process that stands still at its end leaves what came meanwhile without an answer. One that
  // did lately may again:
  // it takes its last access earlier by twice as long, but not before new connections have stopped
  // coming, after 0.4 s;
  // what comes in the first 0.7 s is not lost. Harm: its clients find no router for longer.
  private static final int PAUSES = 2;
  private static final long CLOSES = NANOS_PER_SECOND * 55 / 100; // after SIGTERM, at the earliest
  private static final long HOOK =
      NANOS_PER_SECOND / 10; // from SIGTERM to the event loop: two threads start, on part of a core
  private static final long LOOK =
      NANOS_PER_SECOND / 20; // between looks at whether all is answered
  private static final long LIST_WITHIN =
      NANOS_PER_SECOND; // of a start: the agent is on this machine and answers at once
  private static final int BACKLOG = 512; // connections that come while the process stands still

  private final RouterConfig config;
  private final OperatorSettings operatorSettings;
  private final Map<String, String> environment;
  private final ConfigReloader.HangUpSignal hangUpSignal;
  private final MultiThreadIoEventLoopGroup eventLoopGroup =
      new MultiThreadIoEventLoopGroup(1, MillisecondWaitStrategy.wrap(NioIoHandler.newFactory()));
  private final SingleThreadEventLoop eventLoop = (SingleThreadEventLoop) eventLoopGroup.next();
  private final Counters counters = new Counters();
  private final CountDownLatch firstListReceived = new CountDownLatch(1);
  private final CountDownLatch stopped = new CountDownLatch(1);
  private EventLoopClock clock;
  private TimerQueue timerQueue;
  private RateLimitedLogger logger;
  private RequestDispatcher dispatcher;
  private OverloadController storm;
  private FrontendServer frontend;
  private DiscoveryClient discoveryClient;
  private InetSocketAddress discoveryAddress;
  private boolean stopping;
  private volatile boolean stopRequested; // told to, at any moment of its life
  private Channel listener;
  private long lastAnswerDeadline;
  private Future<?> timer;

  /**
   * With the environment that names the configuration's file, which is read again on SIGHUP, and
   * what hears that.
   */
  public RouterServer(
      RouterConfig config,
      OperatorSettings operatorSettings,
      Map<String, String> environment,
      ConfigReloader.HangUpSignal hangUpSignal) {
    this.hangUpSignal = hangUpSignal;
    this.config = config;
    this.operatorSettings = operatorSettings;
    this.environment = environment;
  }

  /**
   * Starts it; returns once clients are listened to, or never will be as it was told to end before.
   */
  public void start() throws Exception {
    new Warmup(config, eventLoopGroup, eventLoop, ByteBufAllocator.DEFAULT).run();
    eventLoop.submit(this::assemble).get();
    awaitEndpointList();
    listen();
  }

  /**
   * Told to end before this it never listens; told while it binds it serves first, as clients may
   * have come.
   */
  private synchronized void listen() throws InterruptedException {
    if (stopRequested) {
      return;
    }
    ServerBootstrap server =
        new ServerBootstrap()
            .group(eventLoopGroup)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(frontend);
    listener = server.bind(config.listenAddress()).sync().channel();
    Logger.info("{} serves at {}", config.name(), listener.localAddress());
  }

  /**
   * No client meets a list from before: hosts that it calls ready may have left. Without an agent
   * it has to do.
   */
  private void awaitEndpointList() throws InterruptedException {
    if (!firstListReceived.await(LIST_WITHIN, TimeUnit.NANOSECONDS)) {
      Logger.warn("no list came: this router starts with the one that it held");
    }
  }

  private Void assemble() throws ReflectiveOperationException {
    clock = EventLoopClock.system(eventLoop::executeAfterEventLoopIteration);
    timerQueue = new TimerQueue(clock, this::scheduleTimer, counters);
    scheduleHeartbeat();
    logger = new RateLimitedLogger(clock);
    counters.onException(
        thrown ->
            logger.log(
                "caught "
                    + thrown
                    + " at "
                    + List.of(thrown.getStackTrace()).stream().limit(3).toList()));
    BackendConnector backendConnector =
        new BackendConnector(eventLoop, ByteBufAllocator.DEFAULT, counters);
    discoveryAddress = config.discoveryAddress();
    EndpointListParser.EndpointList lastKnownEndpoints = config.lastKnownEndpoints();
    discoveryClient =
        new DiscoveryClient(
            eventLoop,
            discoveryAddress,
            clock,
            timerQueue,
            config.drainGraceNanos(),
            lastKnownEndpoints == null ? 0 : Math.max(0, lastKnownEndpoints.version()),
            new SplittableRandom(config.seed() + 1),
            new EndpointListEvents());
    DescriptorBudget descriptorBudget =
        new DescriptorBudget(config.maxSockets() - RESERVED_SOCKETS);
    ConnectBackoff connectBackoff =
        new ConnectBackoff(
            new SplittableRandom(~config.seed()), operatorSettings.overload().connectBackoff());
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
                config.settings().isRemovalBinding(),
                config.drainGraceNanos()),
            backendConnector,
            backendConnector::probeStatement,
            () -> {},
            logger::log, // the list is followed unasked
            observedActions -> storm(connectBackoff, observedActions));
    frontend =
        new FrontendServer(
            dispatcher,
            clock,
            timerQueue,
            counters,
            config.settings().requestClasses(),
            new ConnectionAdmission(
                descriptorBudget.maxClients(clock.now()), config.settings().maxRetryAfterNanos()),
            descriptorBudget,
            () -> storm.retryAfterForRefusedConnection(clock.now()),
            new SplittableRandom(config.seed() + 2));
    if (lastKnownEndpoints != null) {
      lastKnownEndpoints
          .problems()
          .forEach(fault -> logger.log("the list held from before: " + fault));
    }
    dispatcher.endpointsReplaced(
        lastKnownEndpoints == null ? List.of() : lastKnownEndpoints.endpoints(), true);
    discoveryClient.start();
    new ConfigReloader(
            environment,
            eventLoop,
            clock,
            timerQueue,
            counters,
            logger::log,
            this::onConfigReloaded)
        .startListening(hangUpSignal);
    return null;
  }

  private OverloadController storm(ConnectBackoff connectBackoff, PolicyActions actions) {
    storm =
        new OverloadController(
            config.settings(),
            operatorSettings.overload(),
            connectBackoff,
            actions,
            (overloadSignals, observedActions) ->
                new DefaultRoutingPolicy(
                    config.settings(),
                    new SplittableRandom(config.seed()),
                    observedActions,
                    overloadSignals));
    OverloadController.OverloadCounts counts = storm.counts();
    counters.register("overload_repeated_requests", () -> counts.repeatedRequests);
    counters.register("overload_returned_as_advised", () -> counts.returnedAsAdvised);
    counters.register("overload_reserved", () -> counts.reserved);
    counters.register("overload_unreserved", () -> counts.unreserved);
    counters.register("overload_retries_denied", () -> counts.retriesDenied);
    counters.register("overload_ambiguous_writes_failed", () -> counts.ambiguousWritesFailed);
    counters.register("overload_state_changes", () -> counts.stateChanges);
    return storm;
  }

  /**
   * Only where the list comes from can change while it runs; the same address again says nothing.
   */
  private void onConfigReloaded(RouterConfig next) {
    if (stopping) {
      return;
    }
    config
        .fieldsRequiringRestart(next)
        .forEach(field -> logger.log("the new configuration's " + field + " takes a restart"));
    if (!next.discoveryAddress().equals(discoveryAddress)) {
      discoveryAddress = next.discoveryAddress();
      logger.log("discovery is at " + discoveryAddress);
      discoveryClient.changeAddress(discoveryAddress);
    }
  }

  /**
   * Turns come this often even while nothing happens, so that the clock can tell a pause from a
   * rest.
   */
  private void scheduleHeartbeat() {
    timerQueue.schedule(
        clock.now() + EventLoopClock.MAX_TURN_INTERVAL_NANOS, this::scheduleHeartbeat);
  }

  private void scheduleTimer(long delay, Runnable task) {
    if (timer != null) {
      timer.cancel(false);
    }
    timer = eventLoop.schedule(task, delay, TimeUnit.NANOSECONDS);
  }

  private final class EndpointListEvents implements DiscoveryClient.Listener {
    private String trouble = "";

    @Override
    public void listReceived(EndpointListParser.EndpointList listing) {
      counters.increment(
          listing.complete()
              ? Counters.Counter.ENDPOINT_LISTS_REPLACED
              : Counters.Counter.ENDPOINT_LISTS_UPDATED);
      if (listing.complete()) {
        dispatcher.endpointsReplaced(listing.endpoints(), listing.partialEndpoints(), false);
        firstListReceived.countDown();
      } else {
        dispatcher.endpointsUpdated(listing.endpoints(), listing.partialEndpoints());
      }
      if (listing.problems().isEmpty()) {
        well();
      }
    }

    @Override
    public void endpointsLeaving(List<RequestDispatcher.PartialEndpoint> hosts) {
      counters.increment(Counters.Counter.ENDPOINT_LISTS_UPDATED);
      dispatcher.endpointsUpdated(List.of(), hosts);
    }

    @Override
    public void listUnchanged() {
      counters.increment(Counters.Counter.ENDPOINT_LISTS_UNCHANGED);
      well();
    }

    private void well() {
      if (!trouble.isEmpty()) {
        trouble = "";
        logger.log("discovery answers again");
      }
    }

    @Override
    public void requestFailed(String why) {
      dispatcher.endpointRefreshFailed();
      say("discovery " + why);
    }

    @Override
    public void problemFound(String fault) {
      counters.increment(Counters.Counter.ENDPOINT_LISTS_MALFORMED);
      say("discovery writes what cannot be read, the rest counts: " + fault);
    }

    /** The same trouble again and again is one line. */
    private void say(String line) {
      if (!line.equals(trouble)) {
        trouble = line;
        logger.log(line);
      }
    }
  }

  /**
   * Serves on while new clients come, then closes what has no access open and ends with the last;
   * blocks till then.
   */
  public void stop() {
    stopRequested = true;
    synchronized (this) {
      if (listener == null) {
        Logger.info("stopping before it serves");
        return;
      }
    }
    eventLoop.execute(
        () -> {
          stopping = true;
          Logger.info("stopping with {} accesses open", dispatcher.unansweredRequests());
          // Told while this process stood still it was told at any moment of that, and its end is
          // counted from there.
          long signalledAt = clock.earliestArrival(HOOK);
          lastAnswerDeadline =
              signalledAt
                  + Math.min(config.maxRequestTimeoutNanos(), STAYS)
                  + STAYS_MORE
                  - LAST_ANSWER;
          dispatcher.shuttingDown(lastAnswerDeadline);
          frontend.shuttingDown();
          serveOn(signalledAt + CLOSES);
        });
    try {
      stopped.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    // All is closed; the loop itself ends with the process, which its own end in order held up by
    // up to a second.
  }

  /**
   * Until what comes may find no answer any more; then at once, as a turn later more may have been
   * asked.
   */
  private void serveOn(long earliest) {
    long at =
        Math.max(earliest, lastAnswerDeadline - LAST_ACCESS - PAUSES * clock.recentLongestPause());
    if (clock.now() >= at) {
      finish();
    } else {
      timerQueue.schedule(Math.min(at, clock.now() + LOOK), () -> serveOn(earliest));
    }
  }

  private void finish() {
    frontend.drain();
    // All have their answers by then; a moment more lets them be written, and connections end.
    if (frontend.openConnections() > 0 && clock.now() < lastAnswerDeadline + LOOK) {
      timerQueue.schedule(clock.now() + LOOK, this::finish);
      return;
    }
    frontend.close();
    listener.close();
    discoveryClient.close();
    dispatcher.close();
    Logger.info("counters {}", counters);
    stopped.countDown();
  }
}
