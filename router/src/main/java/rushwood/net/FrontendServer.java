package rushwood.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.RecvByteBufAllocator;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import rushwood.api.RequestClass;
import rushwood.dispatch.Counter;
import rushwood.dispatch.Counters;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.RequestDispatcher;
import rushwood.dispatch.TimerQueue;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.ConnectionAdmission.AdmittedConnection;
import rushwood.overload.DescriptorBudget;
import rushwood.protocol.ClientErrors;
import rushwood.protocol.ErrorResponse;
import rushwood.protocol.MessageWriter;

/**
 * Accepts the connections of clients, closes idle ones where descriptors are short, and ends all of
 * them on shutdown. Belongs to the event loop of its channels; initializes each accepted channel.
 */
public final class FrontendServer extends ChannelInitializer<Channel> {
  private static final long TIMEOUT_CHECK_INTERVAL_NANOS = 200_000_000L;

  // Over the limit, nothing is closed for a new connection before what clients have sent is read:
  // a turn of the event loop takes no longer than this.
  private static final long EVICTION_DELAY_NANOS = 1_000_000L;

  // Connections admitted above the limit meanwhile, on descriptors of the router's own share: as
  // many as are accepted in one turn.
  private static final int ACCEPT_MARGIN = 16;

  // A channel is read until nothing is left: the end of a connection that arrived behind a
  // statement is seen before the statement is sent to a host. 16 reads of up to 64 KiB a turn are
  // Netty's default.
  private static final int MAX_READS_PER_TURN = 16;
  private static final RecvByteBufAllocator READ_UNTIL_EMPTY =
      new AdaptiveRecvByteBufAllocator()
          .respectMaybeMoreData(false)
          .maxMessagesPerRead(MAX_READS_PER_TURN);

  private final EventLoopClock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final ConnectionAdmission admission;
  private final DescriptorBudget descriptorBudget;
  private final LongSupplier retryAfterNanos;
  private final ConnectionRegistry registry;
  private final LingeringConnections lingeringConnections;
  private final ConnectionContext context;
  private boolean evictionScheduled;
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
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    admission = limits.admission();
    descriptorBudget = limits.descriptorBudget();
    retryAfterNanos = limits.retryAfterNanos();
    registry = new ConnectionRegistry(admission, descriptorBudget, random);
    lingeringConnections = new LingeringConnections(clock);
    context =
        new ConnectionContext(
            dispatcher,
            clock,
            timers,
            counters,
            requestClasses,
            admission,
            registry,
            lingeringConnections,
            new StatementMemory());
    checkTimeouts();
  }

  /** Closes connections with an overdue message or unread output, which would use up the limit. */
  private void checkTimeouts() {
    timers.schedule(clock.now() + TIMEOUT_CHECK_INTERVAL_NANOS, this::checkTimeouts);
    registry.list().stream()
        .filter(connection -> !counters.runSafely(connection::checkTimeouts))
        .forEach(connection -> connection.channel.close());
    lingeringConnections.checkDeadlines();
    evictIdleConnections();
  }

  // ---- new connections

  @Override
  protected void initChannel(Channel channel) {
    channel.config().setRecvByteBufAllocator(READ_UNTIL_EMPTY);
    admission.setMaxConnections(descriptorBudget.maxClients(clock.now()));
    if (draining) {
      refuseWhileDraining(channel);
    } else if (isAboveMargin(admission.openConnections()) && !evictNext()) {
      refuse(
          channel, ClientErrors.TOO_MANY_CONNECTIONS.withRetryAfter(retryAfterNanos.getAsLong()));
    } else {
      accept(channel);
    }
  }

  private boolean isAboveMargin(int connections) {
    return connections >= admission.maxConnections() + ACCEPT_MARGIN;
  }

  private void refuseWhileDraining(Channel channel) {
    if (isAboveMargin(openConnections())) {
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
    channel.pipeline().addLast(new FrontendConnection(channel, context));
    evictIdleConnections();
    if (admission.isOverLimit() && !evictionScheduled) {
      evictionScheduled = true;
      timers.schedule(clock.now() + EVICTION_DELAY_NANOS, this::enforceConnectionLimit);
    }
  }

  // ---- limit

  /** Closes connections that have been idle for long, where few clients reuse theirs. */
  private void evictIdleConnections() {
    for (AdmittedConnection idle = admission.idleToClose(clock.now());
        idle != null;
        idle = admission.idleToClose(clock.now())) {
      connectionOf(idle).evict();
    }
  }

  /** Makes room for one connection; returns whether there was one to close. */
  private boolean evictNext() {
    AdmittedConnection evicted = admission.connectionToClose(clock.now());
    if (evicted == null) {
      return false;
    }
    connectionOf(evicted).evict();
    return true;
  }

  /** Runs once all that has arrived is read: evicts what may be closed, then refuses the newest. */
  private void enforceConnectionLimit() {
    evictionScheduled = false;
    boolean more = true;
    while (more) {
      more = admission.isOverLimit() && evictNext();
    }
    for (AdmittedConnection newest = admission.newestWithoutRequest();
        admission.isOverLimit() && newest != null;
        newest = admission.newestWithoutRequest()) {
      counters.increment(Counter.CLIENTS_REFUSED);
      connectionOf(newest)
          .closeWithError(
              ClientErrors.TOO_MANY_CONNECTIONS.withRetryAfter(retryAfterNanos.getAsLong()));
    }
  }

  private static FrontendConnection connectionOf(AdmittedConnection admitted) {
    return (FrontendConnection) admitted.owner();
  }

  /** Connections that use a descriptor, those that linger included. */
  public int openConnections() {
    return registry.size() + lingeringConnections.size();
  }

  // ---- shutdown

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
