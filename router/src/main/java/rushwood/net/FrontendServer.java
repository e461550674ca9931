package rushwood.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.RecvByteBufAllocator;
import java.util.List;
import java.util.random.RandomGenerator;
import rushwood.api.RequestClass;
import rushwood.dispatch.Counter;
import rushwood.dispatch.Counters;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.RequestDispatcher;
import rushwood.dispatch.TimerQueue;
import rushwood.overload.ConnectionAdmission;
import rushwood.protocol.ClientErrors;
import rushwood.protocol.ErrorResponse;
import rushwood.protocol.MessageWriter;

/**
 * Accepts the connections of clients, closes those that take too long, and ends all of them on
 * shutdown. Belongs to the event loop of its channels; initializes each accepted channel.
 *
 * <p>The first of these cases holds for a new connection:
 *
 * <ol>
 *   <li>The router drains: refused with an error, or closed at once if too many linger already.
 *   <li>The {@link ConnectionLimiter} finds or makes room for it: accepted.
 *   <li>Else refused with an error that tells the client when to come back.
 * </ol>
 */
public final class FrontendServer extends ChannelInitializer<Channel> {
  /** How many connections the kernel queues for the router while the process is suspended. */
  public static final int LISTEN_BACKLOG = 512;

  private static final long TIMEOUT_CHECK_INTERVAL_NANOS = 200_000_000L;

  // A channel is read until nothing is left: the end of a connection that arrived behind a
  // statement is seen before the statement is sent to a host. 16 reads of up to 64 KiB a turn are
  // Netty's default.
  private static final int MAX_READS_PER_TURN = 16;
  private static final RecvByteBufAllocator READ_UNTIL_EMPTY =
      new AdaptiveRecvByteBufAllocator()
          .respectMaybeMoreData(false)
          .maxMessagesPerRead(MAX_READS_PER_TURN);

  private final RequestDispatcher dispatcher;
  private final EventLoopClock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final List<RequestClass> requestClasses;
  private final ConnectionAdmission admission;
  private final ConnectionLimiter limiter;
  private final ConnectionRegistry registry;
  private final LingeringConnections lingeringConnections;
  private final StatementMemory statementMemory = new StatementMemory();
  private boolean draining;

  /**
   * Creates a server without connections and starts its timeout checks.
   *
   * @param requestClasses the classes that statements may name
   * @param random the source of the secret part of cancel keys
   */
  public FrontendServer(
      RequestDispatcher dispatcher,
      EventLoopClock clock,
      TimerQueue timers,
      Counters counters,
      List<RequestClass> requestClasses,
      ConnectionLimits limits,
      RandomGenerator random) {
    this.dispatcher = dispatcher;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    this.requestClasses = requestClasses;
    admission = limits.admission();
    limiter = new ConnectionLimiter(clock, timers, counters, limits);
    registry = new ConnectionRegistry(admission, limits.descriptorBudget(), random);
    lingeringConnections = new LingeringConnections(clock);
    checkTimeouts();
  }

  /** Closes connections with an overdue message or unread output, which would use up the limit. */
  private void checkTimeouts() {
    timers.schedule(clock.now() + TIMEOUT_CHECK_INTERVAL_NANOS, this::checkTimeouts);
    registry.list().stream()
        .filter(connection -> !counters.runSafely(connection::checkTimeouts))
        .forEach(connection -> connection.channel.close());
    lingeringConnections.checkDeadlines();
    limiter.updateLimit();
    limiter.closeIdleBelowLimit();
  }

  @Override
  protected void initChannel(Channel channel) {
    channel.config().setRecvByteBufAllocator(READ_UNTIL_EMPTY);
    limiter.updateLimit();
    if (draining) {
      refuseWhileDraining(channel);
    } else if (limiter.makeRoom()) {
      accept(channel);
    } else {
      refuse(channel, limiter.tooManyConnections());
    }
  }

  private void refuseWhileDraining(Channel channel) {
    if (limiter.isAboveMargin(openConnections())) {
      channel.close();
    } else {
      refuse(channel, ClientErrors.SHUTTING_DOWN);
    }
  }

  /** Lingers, so that the client can read the reason. */
  private void refuse(Channel channel, ErrorResponse reason) {
    counters.increment(Counter.CLIENTS_REFUSED);
    ByteBuf out = channel.alloc().buffer(128);
    MessageWriter.writeErrorResponse(out, reason);
    LingeringClose refused = new LingeringClose(channel);
    channel.pipeline().addLast(refused);
    channel.write(out);
    lingeringConnections.add(refused);
  }

  private void accept(Channel channel) {
    counters.increment(Counter.CLIENTS_ACCEPTED);
    channel.pipeline().addLast(createConnection(channel));
    limiter.connectionAccepted();
  }

  private FrontendConnection createConnection(Channel channel) {
    RequestSubmitter submitter =
        new RequestSubmitter(
            dispatcher,
            requestClasses,
            statementMemory,
            admission,
            new RejectionThrottle(clock, timers));
    return new FrontendConnection(
        channel,
        clock,
        counters,
        registry,
        lingeringConnections,
        submitter,
        new InputLimit(statementMemory));
  }

  /** What the listener has to use, so that it accepts as many at once as there is room for. */
  public RecvByteBufAllocator acceptAllocator() {
    return limiter.acceptBatch().allocator();
  }

  /** Connections that use a descriptor, those that linger included. */
  public int openConnections() {
    return registry.size() + lingeringConnections.size();
  }

  /** Shutdown is near: a client whose connection is closed now can't open another one here. */
  public void shuttingDown() {
    admission.startShutdown();
  }

  /** Closes each connection as soon as it has no request, and refuses new ones. */
  public void drain() {
    draining = true;
    lingeringConnections.removeLimit();
    registry.list().forEach(FrontendConnection::drain);
  }

  /** Closes all connections at once. */
  public void close() {
    registry.list().forEach(connection -> connection.channel.close());
    lingeringConnections.closeAll();
  }
}
