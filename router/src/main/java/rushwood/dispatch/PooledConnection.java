package rushwood.dispatch;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import rushwood.api.AttemptOutcome;

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
  private long idleBeforeUseNanos;

  /** Counts as open from now on; {@link #connect} has to follow. */
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

  /** Whether the connection is up and can carry the next exchange. */
  boolean isOpen() {
    return backend().isOpen();
  }

  /** When the connection became idle; meaningful while it is idle only. */
  long idleSince() {
    return idleSince;
  }

  /** Opens the connection for its first exchange. */
  void connect(BackendConnection.Connector connector, Exchange firstExchange) {
    assign(firstExchange);
    backend = connector.connect(address, this);
  }

  /** Uses the connection, which was idle and has been taken out of the pool, once more. */
  void reuse(Exchange nextExchange) {
    idleBeforeUseNanos = clock.now() - idleSince;
    state = State.ASSIGNED;
    assign(nextExchange);
    writeAsDecided(nextExchange, writeGate.decideWhenReady(nextExchange));
  }

  private void assign(Exchange assigned) {
    exchange = assigned;
    assigned.assignTo(this);
    endpoint.addAwaitingWrite(this);
  }

  private void writeAsDecided(Exchange ready, WriteGate.Decision decision) {
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
    } else {
      writeAsDecided(exchange, writeGate.decideAfterDeferral(exchange));
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
    Exchange withheld = takeExchange();
    becomeIdle();
    complete(withheld, writeGate.withhold());
  }

  /** Closes the connection, as its host drains, before anything of its exchange is written. */
  void withholdAndClose() {
    close();
    complete(takeExchange(), writeGate.withhold());
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
    close();
    complete(takeExchange(), BackendResponse.withoutRow(AttemptOutcome.CONNECT_FAILED));
  }

  @Override
  public void connected() {
    connectAttempt.succeed();
    if (exchange == null) {
      becomeIdle();
    } else {
      state = State.ASSIGNED;
      writeAsDecided(exchange, writeGate.decideWhenReady(exchange));
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
    connectAttempt.fail();
    if (state == State.AWAITING_RESPONSE) {
      idleLimit.reuseFailed(idleBeforeUseNanos);
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
    boolean written = state == State.AWAITING_RESPONSE && backend().isStatementWritten();
    return written ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.NOT_SENT;
  }

  private void becomeIdle() {
    if (endpoint.canReuse(address)) {
      state = State.IDLE;
      idleSince = clock.now();
      endpoint.addIdle(this);
    } else {
      close();
    }
  }

  /** Takes the exchange off this connection, if there is one. */
  private @Nullable Exchange takeExchange() {
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

  /** Closes the connection, if it is not closed; its exchange is left to the caller. */
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

  /** The connection to the host; there is one from {@link #connect} on. */
  private BackendConnection backend() {
    return Objects.requireNonNull(backend, "connect comes first");
  }
}
