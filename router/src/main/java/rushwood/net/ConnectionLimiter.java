package rushwood.net;

import java.util.function.LongSupplier;
import rushwood.dispatch.Counter;
import rushwood.dispatch.Counters;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.TimerQueue;
import rushwood.overload.AdmittedConnection;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.DescriptorBudget;
import rushwood.overload.EvictionDecision;
import rushwood.protocol.ClientErrors;
import rushwood.protocol.ErrorResponse;

/**
 * Keeps the number of client connections within the descriptor budget by closing or refusing those
 * that {@link ConnectionAdmission} selects.
 *
 * <p>Over the limit, no connection is closed for a new one until the input that has already arrived
 * is read, {@link #EVICTION_DELAY_NANOS} after the accept. Until then up to {@link #ACCEPT_MARGIN}
 * connections may exceed the limit; they use descriptors that are reserved for the router itself.
 * Above that margin one connection is closed immediately for each that is accepted.
 */
final class ConnectionLimiter {
  // Longer than a usual turn of the event loop, so that all sockets have been read once by then.
  private static final long EVICTION_DELAY_NANOS = 1_000_000L;

  private static final int ACCEPT_MARGIN = AcceptBatch.MIN_CONNECTIONS;

  private final EventLoopClock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final ConnectionAdmission admission;
  private final DescriptorBudget descriptorBudget;
  private final LongSupplier retryAfterNanos;
  private final AcceptBatch acceptBatch = new AcceptBatch();
  private boolean enforcementScheduled;

  ConnectionLimiter(
      EventLoopClock clock, TimerQueue timers, Counters counters, ConnectionLimits limits) {
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    admission = limits.admission();
    descriptorBudget = limits.descriptorBudget();
    retryAfterNanos = limits.retryAfterNanos();
  }

  /** Sets the connection limit to what the descriptor budget allows now. */
  void updateLimit() {
    admission.setMaxConnections(descriptorBudget.maxClientConnections(clock.now()));
    acceptBatch.setRemainingCapacity(admission.maxConnections() - admission.openConnections());
  }

  /** Returns the limit on connections accepted per turn, which {@link #updateLimit} adjusts. */
  AcceptBatch acceptBatch() {
    return acceptBatch;
  }

  /** Returns whether the given number of connections uses up the limit and the accept margin. */
  boolean isMarginExhausted(int connections) {
    return connections >= admission.maxConnections() + ACCEPT_MARGIN;
  }

  /**
   * Makes room for a new connection, closing another one if the margin is exhausted.
   *
   * @return whether the new connection may be accepted
   */
  boolean makeRoom() {
    return !isMarginExhausted(admission.openConnections()) || evictOneOverLimit();
  }

  /** Returns the error for a refused connection, with a Retry-After time if there is one. */
  ErrorResponse tooManyConnectionsError() {
    return ClientErrors.TOO_MANY_CONNECTIONS.withRetryAfter(retryAfterNanos.getAsLong());
  }

  /**
   * Called when a connection was accepted. Closes connections as {@link #closeIdleBelowLimit} does,
   * and if there are too many, schedules the check that closes or refuses some of them.
   */
  void connectionAccepted() {
    closeIdleBelowLimit();
    if (admission.isOverLimit() && !enforcementScheduled) {
      enforcementScheduled = true;
      timers.schedule(clock.now() + EVICTION_DELAY_NANOS, this::enforceLimit);
    }
  }

  /** Closes long-idle connections if many are idle and clients rarely reuse connections. */
  void closeIdleBelowLimit() {
    EvictionDecision decision = admission.decideBelowLimit(clock.now());
    while (decision.action().isClose()) {
      connectionOf(decision.connection()).evict();
      decision = admission.decideBelowLimit(clock.now());
    }
  }

  private boolean evictOneOverLimit() {
    EvictionDecision decision = admission.decideOverLimit(clock.now());
    if (!decision.action().isClose()) {
      return false;
    }
    connectionOf(decision.connection()).evict();
    return true;
  }

  /** Runs when all input that had arrived at the time of the accept has been read. */
  private void enforceLimit() {
    enforcementScheduled = false;
    boolean hasMore = true;
    while (hasMore) {
      hasMore = admission.isOverLimit() && evictOrRefuseOne();
    }
  }

  /** Closes or refuses one connection; returns false if none may be closed or refused now. */
  private boolean evictOrRefuseOne() {
    EvictionDecision decision = admission.decideOverLimit(clock.now());
    switch (decision.action()) {
      case CLOSE_UNUSED, CLOSE_IDLE -> connectionOf(decision.connection()).evict();
      case REFUSE_NEWEST -> refuse(connectionOf(decision.connection()));
      case NONE -> {
        return false;
      }
    }
    return true;
  }

  private void refuse(FrontendConnection connection) {
    counters.increment(Counter.CLIENTS_REFUSED);
    connection.closeWithError(tooManyConnectionsError());
  }

  private static FrontendConnection connectionOf(AdmittedConnection admitted) {
    return (FrontendConnection) admitted.owner();
  }
}
