package rushwood.dispatch;

import io.netty.buffer.ByteBuf;
import org.jspecify.annotations.Nullable;
import rushwood.api.AttemptOutcome;
import rushwood.api.HostId;

/**
 * One statement to a host and the response to it: an attempt at a request, or a health check. An
 * exchange is given to a connection, written, and completed once, with the response of the host or
 * with the reason why there is none.
 */
abstract class Exchange {
  /** A write deadline that never passes. */
  static final long NO_DEADLINE = Long.MAX_VALUE;

  private final HostId host;
  private final long writeDeadline;
  private @Nullable PooledConnection connection;
  private boolean isCompleted;

  /**
   * Creates an exchange that is not on a connection yet.
   *
   * @param writeDeadline from when on it must not be written any more, or {@link #NO_DEADLINE}
   */
  Exchange(HostId host, long writeDeadline) {
    this.host = host;
    this.writeDeadline = writeDeadline;
  }

  /** The message to write; the caller releases it. */
  abstract ByteBuf encodeStatement(long now);

  /** Whether this is a health check, which is answered with a load report. */
  abstract boolean isHealthCheck();

  /** Called once, when the exchange is over; the implementation releases the response. */
  abstract void onCompleted(BackendResponse response);

  HostId host() {
    return host;
  }

  boolean isTooLateToWrite(long now) {
    return now >= writeDeadline;
  }

  /** Whether the statement was handed to a connection whose response is still to come. */
  boolean isAwaitingResponse() {
    return connection != null && connection.isAwaitingResponse();
  }

  boolean isCompleted() {
    return isCompleted;
  }

  /** Puts the exchange on a connection. */
  void assignTo(PooledConnection assigned) {
    connection = assigned;
  }

  /** Takes the exchange off its connection. */
  void unassign() {
    connection = null;
  }

  /** Ends the exchange; later responses are released and otherwise ignored. */
  final void complete(BackendResponse response) {
    if (isCompleted) {
      response.release();
      return;
    }
    isCompleted = true;
    onCompleted(response);
  }

  /**
   * Ends the exchange without waiting any longer, unless it is over. Its outcome is the given one
   * if the statement was written, else that it was not sent: such a statement cannot have run.
   */
  final void stop(AttemptOutcome outcome) {
    if (!isCompleted) {
      AttemptOutcome actual = isAwaitingResponse() ? outcome : AttemptOutcome.NOT_SENT;
      abort(BackendResponse.withoutRow(actual));
    }
  }

  /** Ends the exchange with that response in place of the host's. */
  final void abort(BackendResponse response) {
    if (connection != null) {
      connection.abandonExchange();
    }
    complete(response);
  }
}
