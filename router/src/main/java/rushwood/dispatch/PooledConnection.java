package rushwood.dispatch;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import rushwood.api.AttemptOutcome;

/**
 * A connection of the pool and the exchange that it carries. It is opened for a first exchange,
 * which is written once the connection is established, and is idle between exchanges.
 */
final class PooledConnection implements BackendConnection.Listener {
  private enum State {
    /** Not established yet; its first exchange waits for the connection, or was abandoned. */
    CONNECTING,
    /** Established, with an exchange that is not written yet or was abandoned unwritten. */
    ASSIGNED,
    /** An exchange was written, and its response is outstanding. */
    AWAITING_RESPONSE,
    /** Established and without an exchange; the pool may reuse the connection. */
    IDLE,
    CLOSED
  }

  private final EndpointPool endpoint;
  private final WriteGate writeGate;
  private final OpenConnections openConnections;
  private final IdleLimit idleLimit;
  private final EventLoopClock clock;
  private final Counters counters;
  private final InetSocketAddress address;
  private final ConnectAttempts.ConnectAttempt connectAttempt;
  private State state = State.CONNECTING;
  private @Nullable BackendConnection backend;
  private @Nullable Exchange exchange;
  private long idleSince;
  private long idleBeforeReuseNanos;

  /** Creates a connection that counts as open at once; {@link #connect} has to be called next. */
  PooledConnection(
      EndpointPool endpoint,
      ConnectAttempts connectAttempts,
      WriteGate writeGate,
      OpenConnections openConnections,
      IdleLimit idleLimit,
      EventLoopClock clock,
      Counters counters) {
    this.endpoint = endpoint;
    this.writeGate = writeGate;
    this.openConnections = openConnections;
    this.idleLimit = idleLimit;
    this.clock = clock;
    this.counters = counters;
    address = endpoint.address();
    openConnections.opened();
    connectAttempt = connectAttempts.start(endpoint.host(), this::connectTimedOut);
  }

  boolean isAwaitingResponse() {
    return state == State.AWAITING_RESPONSE;
  }

  /**
   * Reads the socket and returns whether the connection is still usable; must not be called before
   * {@link #connect}, nor while the connection is among the idle ones of its endpoint.
   */
  boolean isReusable() {
    return backend().isReusable();
  }

  /** Returns the time at which the connection became idle; meaningful only while it is idle. */
  long idleSince() {
    return idleSince;
  }

  /** Opens the connection for its first exchange. */
  void connect(BackendConnection.Connector connector, Exchange firstExchange) {
    assign(firstExchange);
    backend = connector.connect(address, this);
  }

  /** Reuses the connection, which was idle and has been removed from the pool. */
  void reuse(Exchange nextExchange) {
    idleBeforeReuseNanos = clock.now() - idleSince;
    state = State.ASSIGNED;
    assign(nextExchange);
    applyWriteDecision(nextExchange, writeGate.decideWhenReady(nextExchange));
  }

  private void assign(Exchange assigned) {
    exchange = assigned;
    assigned.assignTo(this);
    endpoint.addAwaitingWrite(this);
  }

  private void applyWriteDecision(Exchange ready, WriteGate.Decision decision) {
    switch (decision) {
      case WRITE -> write(ready);
      case DEFER -> writeGate.defer(this::writeDeferred);
      case WITHHOLD -> withholdAndBecomeIdle();
    }
  }

  private void writeDeferred() {
    if (state == State.CLOSED) {
      return;
    }
    if (exchange == null) {
      becomeIdle();
    } else if (backend().isReusable()) {
      applyWriteDecision(exchange, writeGate.decideAfterDeferral(exchange));
    } else {
      close();
      complete(detachExchange(), BackendResponse.withoutRow(AttemptOutcome.NOT_SENT));
    }
  }

  private void write(Exchange ready) {
    counters.checkInvariant(state == State.ASSIGNED, "a connection carries one exchange at a time");
    endpoint.removeAwaitingWrite(this);
    state = State.AWAITING_RESPONSE;
    backend().send(ready.encodeStatement(clock.now()), ready.isHealthCheck());
  }

  private void withholdAndBecomeIdle() {
    endpoint.removeAwaitingWrite(this);
    Exchange withheld = detachExchange();
    becomeIdle();
    complete(withheld, writeGate.withhold());
  }

  /** Closes the connection because its host drains, and withholds its unwritten exchange. */
  void withholdAndClose() {
    close();
    complete(detachExchange(), writeGate.withhold());
  }

  /**
   * Detaches the exchange. Closes the connection if the exchange was written, because a written
   * exchange cannot be ended in any other way.
   */
  void abandonExchange() {
    detachExchange();
    endpoint.removeAwaitingWrite(this);
    if (state == State.AWAITING_RESPONSE) {
      close();
    }
  }

  private void connectTimedOut() {
    close();
    complete(detachExchange(), BackendResponse.withoutRow(AttemptOutcome.CONNECT_FAILED));
  }

  @Override
  public void connected() {
    connectAttempt.succeed();
    if (exchange == null) {
      becomeIdle();
    } else {
      state = State.ASSIGNED;
      applyWriteDecision(exchange, writeGate.decideWhenReady(exchange));
    }
  }

  @Override
  public void responseReceived(BackendResponse response, boolean reusable) {
    // Becomes idle before the exchange completes, so that the connection is in the pool if the
    // routing policy starts the next exchange at once.
    Exchange finished = detachExchange();
    if (reusable) {
      becomeIdle();
    } else {
      close();
    }
    complete(finished, response);
  }

  @Override
  public void connectionLost(boolean accepted) {
    connectAttempt.fail();
    if (state == State.AWAITING_RESPONSE) {
      idleLimit.reuseFailed(idleBeforeReuseNanos);
    }
    AttemptOutcome outcome = outcomeOfLostConnection(accepted);
    endpoint.removeIdle(this);
    close();
    complete(detachExchange(), BackendResponse.withoutRow(outcome));
  }

  /**
   * Returns the outcome of an exchange whose connection was lost. If the host accepted the
   * connection and it broke before the whole statement was written, the statement cannot have run,
   * but the host is not known to be down.
   */
  private AttemptOutcome outcomeOfLostConnection(boolean accepted) {
    if (!accepted) {
      return AttemptOutcome.CONNECT_FAILED;
    }
    boolean written = state == State.AWAITING_RESPONSE && backend().isStatementWritten();
    return written ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.NOT_SENT;
  }

  private void becomeIdle() {
    if (endpoint.canReuse(address)) {
      state = State.IDLE;
      idleSince = clock.now() + clock.turnNanos();
      endpoint.addIdle(this);
    } else {
      close();
    }
  }

  /** Detaches and returns the exchange; returns null if there is none. */
  private @Nullable Exchange detachExchange() {
    Exchange taken = exchange;
    exchange = null;
    if (taken != null) {
      taken.unassign();
    }
    return taken;
  }

  private static void complete(@Nullable Exchange finished, BackendResponse response) {
    if (finished == null) {
      response.release();
    } else {
      finished.complete(response);
    }
  }

  /** Closes the connection if it is open. The caller has to complete its exchange. */
  void close() {
    if (state == State.CLOSED) {
      return;
    }
    state = State.CLOSED;
    endpoint.removeAwaitingWrite(this);
    openConnections.closed();
    connectAttempt.cancel();
    if (backend != null) {
      backend.close();
    }
  }

  /**
   * Returns the connection to the host.
   *
   * @throws NullPointerException before {@link #connect} was called
   */
  private BackendConnection backend() {
    return Objects.requireNonNull(backend, "connect was not called");
  }
}
