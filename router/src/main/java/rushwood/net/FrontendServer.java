package rushwood.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.RecvByteBufAllocator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import rushwood.api.RequestClass;
import rushwood.api.RequestId;
import rushwood.dispatch.Counter;
import rushwood.dispatch.Counters;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.RequestDispatcher;
import rushwood.dispatch.TimerQueue;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.DescriptorBudget;
import rushwood.protocol.ErrorResponse;
import rushwood.protocol.FrontendCallbacks;
import rushwood.protocol.FrontendProtocol;
import rushwood.protocol.MessageWriter;
import rushwood.protocol.ProtocolException;
import rushwood.protocol.SqlState;
import rushwood.protocol.SqlStatement;
import rushwood.protocol.SqlStatementParser;

/** The connections of clients; reads and writes for {@link ClientProtocol}. */
public final class FrontendServer extends ChannelInitializer<Channel> {
  // Bytes that a client may write ahead of its answers: eight of the longest statements. They are
  // read all the same, as
  // a client's end stands behind them and has to be seen. Of one that writes more, what is too much
  // is dropped, and the
  // connection ends behind the answer that is due, told why. Harm: to clients that pipeline more
  // than that.
  private static final int MAX_PIPELINED_BYTES = 1 << 20;
  private static final int MAX_PIPELINED_BYTES_LOW_MEMORY = 64 << 10; // and while memory is short
  private static final long MAX_STATEMENT_BYTES =
      16 << 20; // bytes of statements: a third of the memory for buffers
  private static final long LOW_MEMORY_STATEMENT_BYTES =
      MAX_STATEMENT_BYTES / 2; // from here on memory is short

  // In a full house what has come is read before anyone goes for one that comes: in so long a turn
  // of the loop passes.
  private static final long EVICTION_DELAY_NANOS = 1_000_000L;
  private static final int ACCEPT_MARGIN =
      16; // let in meanwhile, from our own sockets: the accepts of a turn
  private static final int MAX_LINGERING =
      4; // ended ones that linger, from our own sockets too: more, the first go
  private static final long MESSAGE_TIMEOUT_NANOS =
      2_400_000_000L; // the longest for a message: an end is owed within 3 s
  private static final long CHECK_INTERVAL_NANOS =
      200_000_000L; // between looks for those that owe or linger

  // Statements that cannot be taken, one after the other: then the connection is heard less often,
  // then closed.
  // Guards against clients that write the same again as soon as it is turned away; harm: none to
  // those that do not.
  private static final int REJECTIONS_BEFORE_PAUSE = 3;
  private static final int MAX_REJECTIONS = 12;
  private static final long REJECTION_PAUSE_NANOS = 50_000_000L;

  // Reads up to where nothing more is here: an end that stands behind a statement is seen before
  // that is sent on.
  private static final int MAX_READS_PER_TURN =
      16; // a turn, up to 64 KiB each: the library's own figure
  private static final RecvByteBufAllocator READ_UNTIL_EMPTY =
      new AdaptiveRecvByteBufAllocator()
          .respectMaybeMoreData(false)
          .maxMessagesPerRead(MAX_READS_PER_TURN);

  private static final ErrorResponse TOO_MANY_CONNECTIONS =
      ErrorResponse.fatal(SqlState.TOO_MANY_CONNECTIONS, "too many connections");

  private final Set<Connection> openConnections = new LinkedHashSet<>();
  private final Set<LingeringClose> lingeringConnections =
      new LinkedHashSet<>(); // ended by us, not yet closed; the first to end first
  private final Map<Long, Connection> connectionsByCancelKey =
      new HashMap<>(); // looked up alone; each handler removes its own
  private final RandomGenerator random;
  private final RequestDispatcher dispatcher;
  private final EventLoopClock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final List<RequestClass> requestClasses;
  private final ConnectionAdmission admission;
  private final DescriptorBudget descriptorBudget;
  private final LongSupplier retryAfterNanos;
  private boolean evictionScheduled;
  private int acceptedConnections;
  private long statementBytes;
  private boolean draining;

  /**
   * With the house and its sockets, the wait in nanoseconds that one without a place there is told,
   * and the chance from which the keys of sessions are drawn.
   */
  public FrontendServer(
      RequestDispatcher dispatcher,
      EventLoopClock clock,
      TimerQueue timers,
      Counters counters,
      List<RequestClass> requestClasses,
      ConnectionAdmission admission,
      DescriptorBudget descriptorBudget,
      LongSupplier retryAfterNanos,
      RandomGenerator random) {
    this.dispatcher = dispatcher;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    this.requestClasses = requestClasses;
    this.admission = admission;
    this.descriptorBudget = descriptorBudget;
    this.retryAfterNanos = retryAfterNanos;
    this.random = random;
    checkTimeouts();
  }

  /**
   * Ends what is silent, half written or unread for long: such connections would fill the house.
   */
  private void checkTimeouts() {
    timers.schedule(clock.now() + CHECK_INTERVAL_NANOS, this::checkTimeouts);
    List.copyOf(openConnections).stream()
        .filter(connection -> !counters.runSafely(connection::checkTimeouts))
        .forEach(connection -> connection.channel.close());
    List.copyOf(lingeringConnections).forEach(connection -> connection.checkDeadline(clock.now()));
    evictIdleConnections();
  }

  @Override
  protected void initChannel(Channel channel) {
    channel.config().setRecvByteBufAllocator(READ_UNTIL_EMPTY);
    admission.setMaxConnections(descriptorBudget.maxClients(clock.now()));
    if (draining) {
      if (openConnections() >= admission.maxConnections() + ACCEPT_MARGIN) {
        channel.close();
      } else {
        refuse(channel, ErrorResponse.fatal(SqlState.CANNOT_CONNECT_NOW, "this router ends"));
      }
      return;
    } else if (admission.openConnections() >= admission.maxConnections() + ACCEPT_MARGIN
        && !evictNext()) {
      refuse(channel, TOO_MANY_CONNECTIONS.withRetryAfter(retryAfterNanos.getAsLong()));
      return;
    }
    counters.increment(Counter.CLIENTS_ACCEPTED);
    channel.pipeline().addLast(new Connection(channel));
    descriptorBudget.setOpenClients(openConnections.size());
    evictIdleConnections();
    if (admission.isOverLimit() && !evictionScheduled) {
      evictionScheduled = true;
      timers.schedule(clock.now() + EVICTION_DELAY_NANOS, this::enforceConnectionLimit);
    }
  }

  /** One that has no place: it can read why. */
  private void refuse(Channel channel, ErrorResponse error) {
    counters.increment(Counter.CLIENTS_REFUSED);
    ByteBuf out = channel.alloc().buffer(128);
    MessageWriter.writeErrorResponse(out, error);
    LingeringClose refused = new LingeringClose(channel);
    channel.pipeline().addLast(refused);
    channel.write(out);
    linger(refused);
  }

  /** Ended by us; where many are, the first has had the most time to end too. */
  private void linger(LingeringClose connection) {
    if (lingeringConnections.size() >= MAX_LINGERING && !draining) {
      lingeringConnections.iterator().next().channel.close();
    }
    lingeringConnections.add(connection);
    connection.startLingering(clock.now());
    connection.channel.closeFuture().addListener(closed -> lingeringConnections.remove(connection));
  }

  /** Those go that rest in vain, where clients ask once and stay. */
  private void evictIdleConnections() {
    for (ConnectionAdmission.AdmittedConnection evicted = admission.idleToClose(clock.now());
        evicted != null;
        evicted = admission.idleToClose(clock.now())) {
      ((Connection) evicted.owner()).evict();
    }
  }

  private boolean evictNext() {
    ConnectionAdmission.AdmittedConnection evicted = admission.connectionToClose(clock.now());
    if (evicted != null) {
      ((Connection) evicted.owner()).evict();
    }
    return evicted != null;
  }

  /**
   * All that had come is read: whoever may goes for those that came, who else is here last finds no
   * room.
   */
  private void enforceConnectionLimit() {
    evictionScheduled = false;
    while (admission.isOverLimit() && evictNext()) {
      continue;
    }
    for (ConnectionAdmission.AdmittedConnection newest = admission.newestWithoutRequest();
        admission.isOverLimit() && newest != null;
        newest = admission.newestWithoutRequest()) {
      ((Connection) newest.owner()).refuseNoRoom();
    }
  }

  /** Connections, those included that end. */
  public int openConnections() {
    return openConnections.size() + lingeringConnections.size();
  }

  /** Closes what is left: its time is over. */
  public void close() {
    List.copyOf(openConnections).forEach(connection -> connection.channel.close());
    List.copyOf(lingeringConnections).forEach(connection -> connection.channel.close());
  }

  /** The end is near: a connection that closes now cannot be opened anew here. */
  public void shuttingDown() {
    admission.startShutdown();
  }

  /** Closes each connection as soon as no access is in it. */
  public void drain() {
    draining = true;
    List.copyOf(openConnections).forEach(connection -> connection.protocol.drain());
  }

  private final class Connection extends LingeringClose implements FrontendCallbacks {
    private final FrontendProtocol protocol;
    private final long key =
        (long) ++acceptedConnections << Integer.SIZE | random.nextInt() & 0xffffffffL;
    private RequestId access;
    private int requestBytes;
    private int countedBytes;
    private int rejected;
    private long lastActivity = clock.now();
    private long incompleteSince = lastActivity;
    private boolean paused;
    private boolean retryAfterSent;
    private boolean pipelinedTooMuch; // it wrote more ahead than is kept
    private boolean later; // asked for in this turn
    private boolean startedUp;
    private boolean answered; // it has had an answer
    private final ConnectionAdmission.AdmittedConnection admissionSlot =
        admission.admit(this, lastActivity);

    Connection(Channel channel) {
      super(channel);
      protocol = new FrontendProtocol(channel.alloc(), this);
      openConnections.add(this);
      connectionsByCancelKey.put(key, this);
    }

    private void evict() {
      counters.increment(Counter.CLIENTS_EVICTED);
      if (!answered) {
        counters.increment(Counter.CLIENTS_EVICTED_UNANSWERED);
      }
      closeGracefully();
    }

    private void refuseNoRoom() {
      counters.increment(Counter.CLIENTS_REFUSED);
      protocol.closeWithError(TOO_MANY_CONNECTIONS.withRetryAfter(retryAfterNanos.getAsLong()));
    }

    /**
     * Our end of it: from now on it has no place here, and nothing that it writes is read as a
     * statement.
     */
    private void closeGracefully() {
      if (!isLingering()) {
        unregister();
        linger(this);
      }
    }

    /** What it does now, for the door. */
    private void updateAdmissionState() {
      boolean idle = protocol.isIdle();
      admission.setState(
          admissionSlot,
          !idle
              ? ConnectionAdmission.ConnectionState.BUSY
              : !answered
                  ? ConnectionAdmission.ConnectionState.NEW
                  : retryAfterSent
                      ? ConnectionAdmission.ConnectionState.AWAITING_RETRY
                      : ConnectionAdmission.ConnectionState.IDLE,
          clock.now());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ByteBuf in = (ByteBuf) message;
      if (isLingering()) {
        discard(in);
        return;
      }
      recordActivity();
      if (!protocol.hasIncompleteMessage()) {
        incompleteSince = lastActivity;
      }
      int pipelinedBytes = protocol.unreadBytes() + in.readableBytes();
      boolean blocked = protocol.hasPendingRequest() || paused || !channel.isWritable();
      pipelinedTooMuch |=
          blocked && pipelinedBytes > MAX_PIPELINED_BYTES
              || pipelinedBytes > MAX_PIPELINED_BYTES_LOW_MEMORY
                  && statementBytes > (blocked ? LOW_MEMORY_STATEMENT_BYTES : MAX_STATEMENT_BYTES);
      if (pipelinedTooMuch) {
        in.release();
        return;
      }
      protocol.buffer(in);
      updateStatementBytes();
      updateAdmissionState();
      resumeLater();
    }

    /**
     * What was read is gone on with once its end would have been read too: then nobody waits for
     * it.
     */
    private void resumeReading() {
      later = false;
      if (!counters.runSafely(this::proceed)) {
        channel.close(); // what it holds must not wait for more to come
      }
    }

    private void proceed() {
      if (isLingering() || !channel.isOpen() || paused || !channel.isWritable()) {
        return;
      }
      if (rejected > MAX_REJECTIONS) {
        protocol.closeWithError(
            ErrorResponse.fatal(
                SqlState.PROTOCOL_VIOLATION, "too many statements that cannot be taken"));
        return;
      }
      protocol.resume();
      updateStatementBytes();
      if (pipelinedTooMuch && !protocol.hasPendingRequest() && !isLingering()) {
        counters.increment(Counter.CLIENTS_REFUSED);
        protocol.closeWithError(
            ErrorResponse.fatal(
                SqlState.TOO_MANY_CONNECTIONS, "too much was written ahead of its answers"));
      } else if (statementBytes > MAX_STATEMENT_BYTES
          && protocol.unreadBytes() > MAX_PIPELINED_BYTES_LOW_MEMORY
          && protocol.hasIncompleteMessage()
          && !isLingering()) {
        // An access that is open keeps its place: only what is half written can be refused.
        counters.increment(Counter.CLIENTS_REFUSED);
        protocol.closeWithError(
            ErrorResponse.fatal(SqlState.TOO_MANY_CONNECTIONS, "memory is short"));
      }
      updateAdmissionState();
    }

    private void recordActivity() {
      lastActivity = clock.now();
    }

    private void checkTimeouts() {
      long now = clock.now();
      if (!channel.isWritable() && lastActivity <= now - MESSAGE_TIMEOUT_NANOS) {
        channel.close();
      } else if (protocol.hasIncompleteMessage()
          && incompleteSince <= now - MESSAGE_TIMEOUT_NANOS) {
        counters.increment(Counter.CLIENTS_TIMED_OUT);
        protocol.closeWithError(
            ErrorResponse.fatal(SqlState.PROTOCOL_VIOLATION, "the message did not come in time"));
      }
    }

    /**
     * Keeps count of what is held for this client: what it wrote ahead, and the access that is
     * open.
     */
    private void updateStatementBytes() {
      int now =
          isLingering() || !openConnections.contains(this)
              ? 0
              : protocol.unreadBytes() + (protocol.hasPendingRequest() ? requestBytes : 0);
      statementBytes += now - countedBytes;
      countedBytes = now;
    }

    /**
     * What it does not read may not fill our memory: until it has, no further statement is taken.
     */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      resumeLater();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      unregister();
    }

    private void unregister() {
      if (openConnections.remove(this)) {
        connectionsByCancelKey.remove(key);
        admission.remove(admissionSlot);
        descriptorBudget.setOpenClients(openConnections.size());
        counters.increment(Counter.CLIENTS_CLOSED);
        updateStatementBytes();
        protocol.connectionClosed();
        if (access != null) {
          dispatcher.clientDisconnected(access);
        }
      }
    }

    @Override
    public long cancelKey() {
      return key;
    }

    @Override
    public void cancelRequest(long otherKey) {
      Connection target = connectionsByCancelKey.get(otherKey);
      if (target != null && target.protocol.hasPendingRequest()) {
        dispatcher.clientDisconnected(target.access);
        target.protocol.answerCancelled();
      }
    }

    @Override
    public void clientTerminated() {
      dispatcher.clientDisconnected(access);
    }

    @Override
    public boolean isReady() {
      return dispatcher.hasEndpoints();
    }

    @Override
    public void submit(ByteBuf text) throws ProtocolException {
      SqlStatement statement = SqlStatementParser.parse(text, requestClasses);
      if (statementBytes + text.readableBytes() > MAX_STATEMENT_BYTES) {
        statement.release();
        throw ProtocolException.rejected(
            SqlState.TOO_MANY_CONNECTIONS, "memory is short: trying again is harmless");
      }
      boolean duplicate = dispatcher.isRequestIdInUse(statement.id());
      if (duplicate || !dispatcher.hasGroup(statement.group())) {
        statement.release();
        throw ProtocolException.rejected(
            SqlState.INVALID_PARAMETER_VALUE,
            duplicate ? "the id is not new" : "the cluster is unknown");
      }
      rejected = 0;
      admission.recordRequest(access != null);
      access = statement.id();
      requestBytes = text.readableBytes();
      retryAfterSent = false;
      dispatcher.requestReceived(statement, protocol);
    }

    @Override
    public int writeCounters(ByteBuf out) {
      int[] rows = new int[1];
      counters.forEach(
          (name, value) -> {
            MessageWriter.writeDataRow(out, name, Long.toString(value));
            rows[0]++;
          });
      return rows[0];
    }

    @Override
    public void statementRejected(ProtocolException rejection) {
      counters.increment(Counter.STATEMENTS_REJECTED);
      boolean causedByRouter =
          rejection.sqlState().equals(SqlState.TOO_MANY_CONNECTIONS)
              || rejection.sqlState().equals(SqlState.CANNOT_CONNECT_NOW);
      if (!causedByRouter && ++rejected > REJECTIONS_BEFORE_PAUSE) {
        paused = true;
        timers.schedule(
            clock.now() + REJECTION_PAUSE_NANOS,
            () -> {
              paused = false;
              resumeLater();
            });
      }
    }

    @Override
    public void write(ByteBuf out) {
      recordActivity();
      answered |= startedUp;
      startedUp |= !protocol.isStartingUp();
      if (!protocol.isStartingUp()) {
        incompleteSince = lastActivity;
      }
      channel.writeAndFlush(out);
      updateStatementBytes();
      updateAdmissionState();
      if (pipelinedTooMuch) {
        resumeLater();
      }
    }

    @Override
    public void retryAfterAnnounced() {
      retryAfterSent = true;
    }

    @Override
    public void close() {
      closeGracefully();
    }

    @Override
    public void resumeLater() {
      if (!later) {
        later = true;
        channel.eventLoop().execute(this::resumeReading);
      }
    }
  }
}
