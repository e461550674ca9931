package rushwood.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
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
import rushwood.protocol.ClientMemory;
import rushwood.protocol.ErrorResponse;
import rushwood.protocol.MessageWriter;

/**
 * Accepts or refuses client connections, closes those that time out, and closes all of them on
 * shutdown. Netty calls it to initialize each channel that the listener accepts. Used only on the
 * event loop of its channels.
 *
 * <p>The first matching rule applies to a new connection:
 *
 * <ol>
 *   <li>While the router drains, the connection is refused with an error, or closed immediately if
 *       too many connections, lingering ones included, are still open.
 *   <li>If the {@link ConnectionLimiter} finds or makes room, the connection is accepted.
 *   <li>Otherwise it is refused with an error that carries a Retry-After time, if there is one.
 * </ol>
 */
public final class FrontendServer extends ChannelInitializer<Channel> {
  /** Connections that the kernel queues for the router, e.g. while the process is suspended. */
  public static final int LISTEN_BACKLOG = 512;

  private static final long TIMEOUT_CHECK_INTERVAL_NANOS = 200_000_000L;

  /**
   * With more unsent output the next statement of a client waits, so that a client that does not
   * read holds one long answer at most. Processing resumes at half of it.
   */
  private static final WriteBufferWaterMark MAX_UNSENT_OUTPUT =
      new WriteBufferWaterMark(8 << 10, 16 << 10);

  private final RequestDispatcher dispatcher;
  private final EventLoopClock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final List<RequestClass> requestClasses;
  private final ConnectionAdmission admission;
  private final ConnectionLimiter limiter;
  private final ConnectionRegistry registry;
  private final LingeringConnections lingeringConnections;
  private final ClientMemory memory = new ClientMemory();
  private final FrontendContext context;
  private boolean draining;

  /**
   * Creates a server without connections and starts its timeout checks.
   *
   * @param requestClasses the request classes that statements may name
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
    counters.register("statement_memory_bytes", memory.statements()::usedBytes);
    counters.register("output_memory_bytes", memory.output()::usedBytes);
    admission = limits.admission();
    limiter = new ConnectionLimiter(clock, timers, counters, limits);
    registry = new ConnectionRegistry(admission, limits.descriptorBudget(), random);
    lingeringConnections = new LingeringConnections(clock);
    context = new FrontendContext(clock, counters, registry, lingeringConnections, memory);
    checkTimeouts();
  }

  /**
   * Closes connections that timed out and would otherwise use up the connection limit, and updates
   * that limit. Reschedules itself.
   */
  private void checkTimeouts() {
    timers.schedule(clock.now() + TIMEOUT_CHECK_INTERVAL_NANOS, this::checkTimeouts);
    registry.snapshot().stream()
        .filter(connection -> !counters.runSafely(connection::checkTimeouts))
        .forEach(connection -> connection.channel.close());
    closeStalledReaders();
    lingeringConnections.checkDeadlines();
    limiter.updateLimit();
    limiter.closeIdleBelowLimit();
  }

  /** While the memory for output is used up, closes clients that have stopped reading answers. */
  private void closeStalledReaders() {
    for (FrontendConnection connection : registry.snapshot()) {
      if (!memory.output().isExhausted()) {
        return;
      }
      connection.closeIfReadingStalled();
    }
  }

  @Override
  protected void initChannel(Channel channel) {
    channel.config().setWriteBufferWaterMark(MAX_UNSENT_OUTPUT);
    limiter.updateLimit();
    if (draining) {
      refuseWhileDraining(channel);
    } else if (limiter.makeRoom()) {
      accept(channel);
    } else {
      refuse(channel, limiter.tooManyConnectionsError());
    }
  }

  private void refuseWhileDraining(Channel channel) {
    if (limiter.isMarginExhausted(openConnections())) {
      channel.close();
    } else {
      refuse(channel, ClientErrors.SHUTTING_DOWN);
    }
  }

  /** Sends the error and lets the connection linger, so that the client can read it. */
  private void refuse(Channel channel, ErrorResponse error) {
    counters.increment(Counter.CLIENTS_REFUSED);
    ByteBuf out = channel.alloc().buffer(128);
    MessageWriter.writeErrorResponse(out, error);
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
            dispatcher, requestClasses, admission, new RejectionThrottle(clock, timers));
    return new FrontendConnection(channel, context, submitter);
  }

  /**
   * Returns the allocator that the listening channel has to use; it limits how many connections are
   * accepted per turn.
   */
  public RecvByteBufAllocator acceptAllocator() {
    return limiter.acceptBatch().allocator();
  }

  /** Returns the number of client connections that use a descriptor, lingering ones included. */
  public int openConnections() {
    return registry.size() + lingeringConnections.size();
  }

  /** Returns the number of bytes of direct memory that hold input of clients and output to them. */
  public long clientMemoryBytes() {
    return memory.usedBytes();
  }

  /**
   * Announces shutdown. From now on idle connections are not closed to make room for others because
   * their clients could not reconnect to this router.
   */
  public void shuttingDown() {
    admission.startShutdown();
  }

  /** Closes each connection as soon as it is idle, and refuses new ones. */
  public void drain() {
    draining = true;
    lingeringConnections.removeLimit();
    registry.snapshot().forEach(FrontendConnection::drain);
  }

  /**
   * Rejects the requests that wait behind others of their client and those that arrive from now on.
   * Pending requests are left to the routing policy.
   */
  public void rejectQueuedRequests() {
    registry.snapshot().forEach(FrontendConnection::rejectRequests);
  }

  /** Returns the number of requests that wait behind others of their client. */
  public int queuedRequests() {
    return registry.snapshot().stream().mapToInt(FrontendConnection::queuedRequests).sum();
  }

  /** Returns whether any request that arrived completely has no response yet. */
  public boolean hasUnansweredRequests() {
    return registry.snapshot().stream()
        .anyMatch(client -> client.hasPendingRequest() || client.queuedRequests() > 0);
  }

  /** Returns an estimate of the time in nanoseconds that {@link #rejectQueuedRequests} takes. */
  public long queueRejectionNanos() {
    return context.rejectionTime().nanosToReject(queuedRequests());
  }

  /** Closes all connections immediately. */
  public void close() {
    registry.snapshot().forEach(connection -> connection.channel.close());
    lingeringConnections.closeAll();
  }
}
