package rushwood.dispatch;

import io.netty.buffer.ByteBuf;
import org.jspecify.annotations.Nullable;
import rushwood.api.AttemptOutcome;
import rushwood.api.HostId;

/**
 * One statement to a host and the response to it: an attempt at a request, or a health check. An
 * exchange is assigned to a connection, written, and completed exactly once, with the response of
 * the host or with an outcome that says why there is none.
 */
abstract class Exchange {
  /** A write deadline that never passes. */
  static final long NO_WRITE_DEADLINE = Long.MAX_VALUE;

  private final HostId host;
  private final long writeDeadline;
  private @Nullable PooledConnection connection;
  private boolean isCompleted;

  /**
   * Creates an exchange that is not assigned to a connection yet.
   *
   * @param writeDeadline the time from which on the statement must not be written any more, or
   *     {@link #NO_WRITE_DEADLINE}
   */
  Exchange(HostId host, long writeDeadline) {
    this.host = host;
    this.writeDeadline = writeDeadline;
  }

  /**
   * Encodes the message to write, which the caller takes ownership of.
   *
   * @param now the current time
   */
  abstract ByteBuf encodeStatement(long now);

  /** Returns whether this is a health check, which a host answers with a load report. */
  abstract boolean isHealthCheck();

  /** Called once, when the exchange is over; the implementation takes ownership of the response. */
  abstract void onCompleted(BackendResponse response);

  HostId host() {
    return host;
  }

  boolean isWriteDeadlinePassed(long now) {
    return now >= writeDeadline;
  }

  /** Returns whether the statement was passed to a connection and its response is outstanding. */
  boolean isAwaitingResponse() {
    return connection != null && connection.isAwaitingResponse();
  }

  boolean isCompleted() {
    return isCompleted;
  }

  void assignTo(PooledConnection assigned) {
    connection = assigned;
  }

  void unassign() {
    connection = null;
  }

  /** Completes the exchange. If it is completed already, only releases the response. */
  final void complete(BackendResponse response) {
    if (isCompleted) {
      response.release();
      return;
    }
    isCompleted = true;
    onCompleted(response);
  }

  /**
   * Ends the exchange without waiting for a response, unless it is completed.
   *
   * @param outcome the outcome if the statement was passed to a connection; else the statement
   *     cannot have run, and the outcome is {@link AttemptOutcome#NOT_SENT}
   */
  final void stop(AttemptOutcome outcome) {
    if (!isCompleted) {
      AttemptOutcome actual = isAwaitingResponse() ? outcome : AttemptOutcome.NOT_SENT;
      abort(BackendResponse.withoutRow(actual));
    }
  }

  /** Ends the exchange with the given response instead of one from the host. */
  final void abort(BackendResponse response) {
    if (connection != null) {
      connection.abandonExchange();
    }
    complete(response);
  }
}
