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
 * Keeps the connections of clients within the descriptor budget: closes and refuses those that
 * {@link ConnectionAdmission} names.
 *
 * <p>Over the limit, nothing is closed for a new connection before what clients have sent is read:
 * {@link #EVICTION_DELAY_NANOS} after the accept. Meanwhile {@link #ACCEPT_MARGIN} connections may
 * exceed the limit, on descriptors of the router's own share; above that margin one is closed at
 * once for each that is accepted.
 */
final class ConnectionLimiter {
  // Longer than a usual turn of the event loop: by then all sockets have been read once.
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

  /** Takes over how many connections the descriptor budget allows now. */
  void updateLimit() {
    admission.setMaxConnections(descriptorBudget.maxClientConnections(clock.now()));
    acceptBatch.setRoom(admission.maxConnections() - admission.openConnections());
  }

  /** How many connections are accepted at once. */
  AcceptBatch acceptBatch() {
    return acceptBatch;
  }

  /** Whether so many connections leave no room for another, not even in the margin. */
  boolean isAboveMargin(int connections) {
    return connections >= admission.maxConnections() + ACCEPT_MARGIN;
  }

  /** Returns whether a new connection may be accepted; closes one for it where that is needed. */
  boolean makeRoom() {
    return !isAboveMargin(admission.openConnections()) || closeOneOverLimit();
  }

  /** The error that tells a client that there are too many connections, and when to come back. */
  ErrorResponse tooManyConnections() {
    return ClientErrors.TOO_MANY_CONNECTIONS.withRetryAfter(retryAfterNanos.getAsLong());
  }

  /** A connection was accepted, perhaps above the limit. */
  void connectionAccepted() {
    closeIdleBelowLimit();
    if (admission.isOverLimit() && !enforcementScheduled) {
      enforcementScheduled = true;
      timers.schedule(clock.now() + EVICTION_DELAY_NANOS, this::enforceLimit);
    }
  }

  /** Closes connections that have been idle for long, where few clients reuse theirs. */
  void closeIdleBelowLimit() {
    EvictionDecision decision = admission.decideBelowLimit(clock.now());
    while (decision.action().isClose()) {
      connectionOf(decision.connection()).evict();
      decision = admission.decideBelowLimit(clock.now());
    }
  }

  private boolean closeOneOverLimit() {
    EvictionDecision decision = admission.decideOverLimit(clock.now());
    if (!decision.action().isClose()) {
      return false;
    }
    connectionOf(decision.connection()).evict();
    return true;
  }

  /** Runs once all that has arrived is read. */
  private void enforceLimit() {
    enforcementScheduled = false;
    boolean more = true;
    while (more) {
      more = admission.isOverLimit() && endOneOverLimit();
    }
  }

  /** Closes or refuses one connection; returns whether there was one. */
  private boolean endOneOverLimit() {
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
    connection.closeWithError(tooManyConnections());
  }

  private static FrontendConnection connectionOf(AdmittedConnection admitted) {
    return (FrontendConnection) admitted.owner();
  }
}
