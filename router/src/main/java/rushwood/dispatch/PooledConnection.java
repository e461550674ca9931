package rushwood.dispatch;

import java.net.InetSocketAddress;
import rushwood.api.AttemptOutcome;
import rushwood.api.HostId;

/**
 * One connection of the pool and the exchange that it carries. It is opened for a first exchange,
 * which is written once the connection is up, and is idle between exchanges.
 */
final class PooledConnection implements BackendConnection.Listener {
  private enum State {
    /** Not up yet; its first exchange waits, or was abandoned. */
    CONNECTING,
    /** Up, with an exchange that is not written yet, or was abandoned before. */
    ASSIGNED,
    /** An exchange was written, and its response is still to come. */
    AWAITING_RESPONSE,
    /** Up and in the pool, without an exchange. */
    IDLE,
    /** Closed for good. */
    CLOSED
  }

  /**
   * How long the sockets of clients may go unread before a write: nothing is to be written later
   * than 0.1 s after its client disconnected, and this is half of that.
   */
  private static final long MAX_UNREAD_NANOS = 50_000_000L;

  /** The part of the drain grace for which discovery's socket may go unread before a write. */
  private static final int DRAIN_GRACE_DIVISOR = 4;

  private final PoolContext context;
  private final HostId host;
  private final EndpointPool endpoint;
  private final InetSocketAddress address;
  private State state = State.CONNECTING;
  private BackendConnection backend;
  private Exchange exchange;
  private TimerQueue.ScheduledTask connectTimeout;
  private long idleSince;
  private long idleBeforeUseNanos;

  /** Counts as open from now on; {@link #connect} has to follow. */
  PooledConnection(PoolContext context, HostId host, EndpointPool endpoint) {
    this.context = context;
    this.host = host;
    this.endpoint = endpoint;
    address = endpoint.address();
    context.openConnections().opened();
  }

  boolean isAwaitingResponse() {
    return state == State.AWAITING_RESPONSE;
  }

  boolean isOpen() {
    return backend.isOpen();
  }

  /** When the connection became idle; meaningful while it is idle only. */
  long idleSince() {
    return idleSince;
  }

  /** Opens the connection for its first exchange. */
  void connect(Exchange firstExchange) {
    assign(firstExchange);
    context.settings().backoff().attemptStarted(host);
    long timeoutAt = now() + context.settings().connectTimeoutNanos();
    connectTimeout = context.timers().schedule(timeoutAt, this::connectTimedOut);
    backend = context.connector().connect(address, this);
  }

  /** Uses the connection, which was idle and has been taken out of the pool, once more. */
  void reuse(Exchange nextExchange) {
    idleBeforeUseNanos = now() - idleSince;
    state = State.ASSIGNED;
    assign(nextExchange);
    writeOrDefer();
  }

  private void assign(Exchange assigned) {
    exchange = assigned;
    assigned.assignTo(this);
    endpoint.addAwaitingWrite(this);
  }

  /**
   * Writes the exchange, unless the process was paused. During a pause a drain of the host or the
   * end of the client may have arrived that was not read before this exchange was chosen. The next
   * turn of the event loop reads all sockets, in no particular order; so the exchange is written in
   * the turn after that one, if its host and client are still there.
   */
  private void writeOrDefer() {
    long drainGraceShare = context.settings().drainGraceNanos() / DRAIN_GRACE_DIVISOR;
    if (context.clock().canHaveUnreadInput(Math.min(drainGraceShare, MAX_UNREAD_NANOS))) {
      context.counters().increment(Counter.ATTEMPTS_DEFERRED);
      context.timers().schedule(now() + 1, this::writeDeferred);
    } else {
      write();
    }
  }

  private void writeDeferred() {
    if (state == State.CLOSED) {
      return;
    }
    if (exchange == null) {
      becomeIdle();
    } else {
      write();
    }
  }

  private void write() {
    endpoint.removeAwaitingWrite(this);
    if (exchange.isTooLateToWrite(now())) {
      Exchange expired = takeExchange();
      context.counters().increment(Counter.ATTEMPTS_WITHHELD);
      becomeIdle();
      complete(expired, BackendResponse.withoutRow(AttemptOutcome.NOT_SENT));
      return;
    }
    context
        .counters()
        .checkInvariant(state == State.ASSIGNED, "a connection carries one exchange at a time");
    state = State.AWAITING_RESPONSE;
    backend.send(exchange.encodeStatement(now()), exchange.isHealthCheck());
  }

  /** Closes the connection, as its host drains, before anything of its exchange is written. */
  void withhold() {
    context.counters().increment(Counter.ATTEMPTS_WITHHELD);
    close();
    complete(takeExchange(), BackendResponse.withoutRow(AttemptOutcome.NOT_SENT));
  }

  /** Gives up the exchange; if it was written, only a close can end it. */
  void abandonExchange() {
    takeExchange();
    endpoint.removeAwaitingWrite(this);
    if (state == State.AWAITING_RESPONSE) {
      close();
    }
  }

  private void connectTimedOut() {
    context.settings().backoff().attemptFailed(host, now());
    context.counters().increment(Counter.CONNECTIONS_FAILED);
    close();
    complete(takeExchange(), BackendResponse.withoutRow(AttemptOutcome.CONNECT_FAILED));
  }

  @Override
  public void connected() {
    connectTimeout.cancel();
    context.settings().backoff().attemptSucceeded(host);
    if (exchange == null) {
      becomeIdle();
    } else {
      state = State.ASSIGNED;
      writeOrDefer();
    }
  }

  @Override
  public void responseReceived(BackendResponse response, boolean reusable) {
    // Idle before the exchange completes: the routing policy may start the next one at once.
    Exchange finished = takeExchange();
    if (reusable) {
      becomeIdle();
    } else {
      close();
    }
    complete(finished, response);
  }

  @Override
  public void connectionLost(boolean accepted) {
    boolean wasConnecting = connectTimeout.cancel();
    if (wasConnecting) {
      context.counters().increment(Counter.CONNECTIONS_FAILED);
      context.settings().backoff().attemptFailed(host, now());
    }
    if (state == State.AWAITING_RESPONSE) {
      context.idleLimit().reuseFailed(idleBeforeUseNanos);
    }
    AttemptOutcome outcome = outcomeOfLoss(accepted);
    endpoint.removeIdle(this);
    close();
    complete(takeExchange(), BackendResponse.withoutRow(outcome));
  }

  /**
   * The outcome of an exchange whose connection was lost. A connection that was accepted and breaks
   * before the statement is written proves that nothing ran, but not that the host is down.
   */
  private AttemptOutcome outcomeOfLoss(boolean accepted) {
    if (!accepted) {
      return AttemptOutcome.CONNECT_FAILED;
    }
    boolean written = state == State.AWAITING_RESPONSE && backend.isStatementWritten();
    return written ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.NOT_SENT;
  }

  private void becomeIdle() {
    if (endpoint.canReuse(address)) {
      state = State.IDLE;
      idleSince = now();
      endpoint.addIdle(this);
    } else {
      close();
    }
  }

  /** Takes the exchange off this connection; null if there is none. */
  private Exchange takeExchange() {
    Exchange taken = exchange;
    exchange = null;
    if (taken != null) {
      taken.unassign();
    }
    return taken;
  }

  private static void complete(Exchange finished, BackendResponse response) {
    if (finished == null) {
      response.release();
    } else {
      finished.complete(response);
    }
  }

  /** Closes the connection, if it is not closed; its exchange is left to the caller. */
  void close() {
    if (state == State.CLOSED) {
      return;
    }
    state = State.CLOSED;
    endpoint.removeAwaitingWrite(this);
    context.openConnections().closed();
    context.counters().increment(Counter.CONNECTIONS_CLOSED);
    if (connectTimeout.cancel()) {
      context.settings().backoff().attemptCancelled(host);
    }
    if (backend != null) {
      backend.close();
    }
  }

  private long now() {
    return context.clock().now();
  }
}
