package rushwood.lifecycle;

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
import rushwood.dispatch.Counters;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.RequestDispatcher;
import rushwood.dispatch.TimerQueue;
import rushwood.overload.ConnectBackoff;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.DescriptorBudget;
import rushwood.overload.OverloadController;
import rushwood.policy.DefaultRoutingPolicy;
import rushwood.wire.Clients;
import rushwood.wire.Discovery;
import rushwood.wire.HostLinks;
import rushwood.wire.ListReader;

/** One running router: puts its parts together on one event loop, and ends them in order. */
public final class Service {
  // The program's files, the loop, the listener, discovery: 30; and clients that the door lets in
  // or that linger.
  private static final int OWN_SOCKETS = 54;
  private static final long SECOND = 1_000_000_000L;
  // A planned restart ends us no earlier than the longest deadline, 3 s of it at most, and 0.7 s
  // more after SIGTERM,
  // however soon we leave: until then clients are served on the connections they have, as the front
  // sends those that
  // lose theirs here for seconds still (closed after 0.55 s, half of the tries of two routers
  // failed meanwhile).
  private static final long STAYS = 3 * SECOND;
  private static final long STAYS_MORE = 700 * SECOND / 1000;
  private static final long LAST_ANSWER =
      SECOND / 5; // before that end: a stall, and the time to exit
  private static final long LAST_ACCESS =
      SECOND * 3 / 10; // before the last answer: most are answered in less
  // A process that stands still at its end leaves what came meanwhile without an answer. One that
  // did lately may again:
  // it takes its last access earlier by twice as long, but not before new connections have stopped
  // coming, after 0.4 s;
  // what comes in the first 0.7 s is not lost. Harm: its clients find no router for longer.
  private static final int PAUSES = 2;
  private static final long CLOSES = SECOND * 55 / 100; // after SIGTERM, at the earliest
  private static final long HOOK =
      SECOND / 10; // from SIGTERM to the event loop: two threads start, on part of a core
  private static final long LOOK = SECOND / 20; // between looks at whether all is answered
  private static final long LIST_WITHIN =
      SECOND; // of a start: the agent is on this machine and answers at once
  private static final int BACKLOG = 512; // connections that come while the process stands still

  private final Config config;
  private final Operator operator;
  private final Map<String, String> environment;
  private final Reload.Signal hangUp;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, WholeMillis.of(NioIoHandler.newFactory()));
  private final SingleThreadEventLoop loop = (SingleThreadEventLoop) group.next();
  private final Counters counters = new Counters();
  private final CountDownLatch list = new CountDownLatch(1);
  private final CountDownLatch ended = new CountDownLatch(1);
  private EventLoopClock clock;
  private TimerQueue agenda;
  private Lines lines;
  private RequestDispatcher router;
  private OverloadController storm;
  private Clients clients;
  private Discovery discovery;
  private InetSocketAddress followed;
  private boolean stopping;
  private volatile boolean ends; // told to, at any moment of its life
  private Channel listener;
  private long last;
  private Future<?> timer;

  /**
   * With the environment that names the configuration's file, which is read again on SIGHUP, and
   * what hears that.
   */
  public Service(
      Config config, Operator operator, Map<String, String> environment, Reload.Signal hangUp) {
    this.hangUp = hangUp;
    this.config = config;
    this.operator = operator;
    this.environment = environment;
  }

  /**
   * Starts it; returns once clients are listened to, or never will be as it was told to end before.
   */
  public void start() throws Exception {
    new Rehearsal(config, group, loop, ByteBufAllocator.DEFAULT).play();
    loop.submit(this::assemble).get();
    awaitList();
    listen();
  }

  /**
   * Told to end before this it never listens; told while it binds it serves first, as clients may
   * have come.
   */
  private synchronized void listen() throws InterruptedException {
    if (ends) {
      return;
    }
    ServerBootstrap server =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(clients);
    listener = server.bind(config.listen()).sync().channel();
    Logger.info("{} serves at {}", config.name(), listener.localAddress());
  }

  /**
   * No client meets a list from before: hosts that it calls ready may have left. Without an agent
   * it has to do.
   */
  private void awaitList() throws InterruptedException {
    if (!list.await(LIST_WITHIN, TimeUnit.NANOSECONDS)) {
      Logger.warn("no list came: this router starts with the one that it held");
    }
  }

  private Void assemble() throws ReflectiveOperationException {
    clock = EventLoopClock.system(loop::executeAfterEventLoopIteration);
    agenda = new TimerQueue(clock, this::set, counters);
    beat();
    lines = new Lines(clock);
    counters.onException(
        thrown ->
            lines.say(
                "caught "
                    + thrown
                    + " at "
                    + List.of(thrown.getStackTrace()).stream().limit(3).toList()));
    HostLinks links = new HostLinks(loop, ByteBufAllocator.DEFAULT, counters);
    followed = config.discovery();
    ListReader.Listing known = config.known();
    discovery =
        new Discovery(
            loop,
            followed,
            clock,
            agenda,
            config.grace(),
            known == null ? 0 : Math.max(0, known.version()),
            new SplittableRandom(config.seed() + 1),
            new ListEvents());
    DescriptorBudget sockets = new DescriptorBudget(config.sockets() - OWN_SOCKETS);
    ConnectBackoff dials =
        new ConnectBackoff(new SplittableRandom(~config.seed()), operator.storm().connectBackoff());
    router =
        new RequestDispatcher(
            clock,
            agenda,
            counters,
            new RequestDispatcher.ConnectionSettings(
                sockets,
                dials,
                config.openWithin(),
                config.idleFor(),
                config.settings().isRemovalBinding(),
                config.grace()),
            links,
            links::probe,
            () -> {},
            lines::say, // the list is followed unasked
            outlet -> storm(dials, outlet));
    clients =
        new Clients(
            router,
            clock,
            agenda,
            counters,
            config.settings().requestClasses(),
            new ConnectionAdmission(
                sockets.maxClients(clock.now()), config.settings().maxRetryAfterNanos()),
            sockets,
            () -> storm.retryAfterForRefusedConnection(clock.now()),
            new SplittableRandom(config.seed() + 2));
    if (known != null) {
      known.faults().forEach(fault -> lines.say("the list held from before: " + fault));
    }
    router.endpointsReplaced(known == null ? List.of() : known.places(), true);
    discovery.follow();
    new Reload(environment, loop, clock, agenda, counters, lines::say, this::reloaded)
        .listen(hangUp);
    return null;
  }

  private OverloadController storm(ConnectBackoff dials, PolicyActions out) {
    storm =
        new OverloadController(
            config.settings(),
            operator.storm(),
            dials,
            out,
            (crowd, outlet) ->
                new DefaultRoutingPolicy(
                    config.settings(), new SplittableRandom(config.seed()), outlet, crowd));
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
  private void reloaded(Config next) {
    if (stopping) {
      return;
    }
    config
        .fixed(next)
        .forEach(field -> lines.say("the new configuration's " + field + " takes a restart"));
    if (!next.discovery().equals(followed)) {
      followed = next.discovery();
      lines.say("discovery is at " + followed);
      discovery.move(followed);
    }
  }

  /**
   * Turns come this often even while nothing happens, so that the clock can tell a pause from a
   * rest.
   */
  private void beat() {
    agenda.schedule(clock.now() + EventLoopClock.MAX_TURN_INTERVAL_NANOS, this::beat);
  }

  private void set(long delay, Runnable task) {
    if (timer != null) {
      timer.cancel(false);
    }
    timer = loop.schedule(task, delay, TimeUnit.NANOSECONDS);
  }

  private final class ListEvents implements Discovery.Events {
    private String trouble = "";

    @Override
    public void listing(ListReader.Listing listing) {
      counters.increment(
          listing.whole()
              ? Counters.Counter.ENDPOINT_LISTS_REPLACED
              : Counters.Counter.ENDPOINT_LISTS_UPDATED);
      if (listing.whole()) {
        router.endpointsReplaced(listing.places(), listing.partials(), false);
        list.countDown();
      } else {
        router.endpointsUpdated(listing.places(), listing.partials());
      }
      if (listing.faults().isEmpty()) {
        well();
      }
    }

    @Override
    public void leaving(List<RequestDispatcher.PartialEndpoint> hosts) {
      counters.increment(Counters.Counter.ENDPOINT_LISTS_UPDATED);
      router.endpointsUpdated(List.of(), hosts);
    }

    @Override
    public void unchanged() {
      counters.increment(Counters.Counter.ENDPOINT_LISTS_UNCHANGED);
      well();
    }

    private void well() {
      if (!trouble.isEmpty()) {
        trouble = "";
        lines.say("discovery answers again");
      }
    }

    @Override
    public void failed(String why) {
      router.endpointRefreshFailed();
      say("discovery " + why);
    }

    @Override
    public void unread(String fault) {
      counters.increment(Counters.Counter.ENDPOINT_LISTS_MALFORMED);
      say("discovery writes what cannot be read, the rest counts: " + fault);
    }

    /** The same trouble again and again is one line. */
    private void say(String line) {
      if (!line.equals(trouble)) {
        trouble = line;
        lines.say(line);
      }
    }
  }

  /**
   * Serves on while new clients come, then closes what has no access open and ends with the last;
   * blocks till then.
   */
  public void stop() {
    ends = true;
    synchronized (this) {
      if (listener == null) {
        Logger.info("stopping before it serves");
        return;
      }
    }
    loop.execute(
        () -> {
          stopping = true;
          Logger.info("stopping with {} accesses open", router.unansweredRequests());
          // Told while this process stood still it was told at any moment of that, and its end is
          // counted from there.
          long told = clock.earliestArrival(HOOK);
          last = told + Math.min(config.longestOuterLimit(), STAYS) + STAYS_MORE - LAST_ANSWER;
          router.shuttingDown(last);
          clients.closing();
          serveOn(told + CLOSES);
        });
    try {
      ended.await();
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
    long at = Math.max(earliest, last - LAST_ACCESS - PAUSES * clock.recentLongestPause());
    if (clock.now() >= at) {
      finish();
    } else {
      agenda.schedule(Math.min(at, clock.now() + LOOK), () -> serveOn(earliest));
    }
  }

  private void finish() {
    clients.finish();
    // All have their answers by then; a moment more lets them be written, and connections end.
    if (clients.open() > 0 && clock.now() < last + LOOK) {
      agenda.schedule(clock.now() + LOOK, this::finish);
      return;
    }
    clients.close();
    listener.close();
    discovery.close();
    router.close();
    Logger.info("counters {}", counters);
    ended.countDown();
  }
}
