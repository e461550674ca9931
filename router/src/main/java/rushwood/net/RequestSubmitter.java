package rushwood.net;

import io.netty.buffer.ByteBuf;
import java.util.List;
import org.jspecify.annotations.Nullable;
import rushwood.api.RequestClass;
import rushwood.api.RequestId;
import rushwood.dispatch.ClientResponder;
import rushwood.dispatch.RequestDispatcher;
import rushwood.overload.ConnectionAdmission;
import rushwood.protocol.ProtocolException;
import rushwood.protocol.SqlState;
import rushwood.protocol.SqlStatement;
import rushwood.protocol.SqlStatementParser;

/**
 * Validates the statements of one client and submits them to the dispatcher as requests, one at a
 * time. A {@link RejectionThrottle} slows down a client whose statements are rejected.
 */
final class RequestSubmitter {
  private final RequestDispatcher dispatcher;
  private final List<RequestClass> requestClasses;
  private final ConnectionAdmission admission;
  private final RejectionThrottle rejectionThrottle;
  private @Nullable RequestId lastRequestId;

  /**
   * Creates the submitter of one client.
   *
   * @param requestClasses the request classes that statements may name
   * @param rejectionThrottle used by this client only
   */
  RequestSubmitter(
      RequestDispatcher dispatcher,
      List<RequestClass> requestClasses,
      ConnectionAdmission admission,
      RejectionThrottle rejectionThrottle) {
    this.dispatcher = dispatcher;
    this.requestClasses = requestClasses;
    this.admission = admission;
    this.rejectionThrottle = rejectionThrottle;
  }

  /** Returns whether requests can be served. */
  boolean isReady() {
    return dispatcher.hasEndpoints();
  }

  /**
   * Parses and validates a statement. The caller has to pass the result to {@link #submit}.
   *
   * @throws ProtocolException if the statement cannot be parsed, its request ID is in use, or its
   *     group is unknown
   */
  SqlStatement parseAndValidate(ByteBuf text) throws ProtocolException {
    SqlStatement statement = SqlStatementParser.parse(text, requestClasses);
    try {
      validate(statement);
    } catch (ProtocolException rejection) {
      statement.release();
      throw rejection;
    }
    rejectionThrottle.reset();
    return statement;
  }

  private void validate(SqlStatement statement) throws ProtocolException {
    if (dispatcher.isRequestIdInUse(statement.id())) {
      throw ProtocolException.rejected(SqlState.INVALID_PARAMETER_VALUE, "the id is not new");
    }
    if (!dispatcher.hasGroup(statement.group())) {
      throw ProtocolException.rejected(SqlState.INVALID_PARAMETER_VALUE, "the cluster is unknown");
    }
  }

  /**
   * Submits a validated statement. The responder may be called before this method returns.
   *
   * @param earliestArrival earliest clock time in nanoseconds at which the client may have sent the
   *     statement
   */
  void submit(SqlStatement statement, long earliestArrival, ClientResponder responder) {
    admission.recordRequest(lastRequestId != null);
    lastRequestId = statement.id();
    dispatcher.requestReceived(statement, earliestArrival, responder);
  }

  /**
   * Slows the client down after a statement or another message was rejected, unless the state of
   * the router caused the rejection.
   *
   * @param resume runs at the end of the pause if this rejection causes one
   */
  void statementRejected(ProtocolException rejection, Runnable resume) {
    String sqlState = rejection.sqlState();
    boolean isCausedByRouter =
        sqlState.equals(SqlState.TOO_MANY_CONNECTIONS)
            || sqlState.equals(SqlState.CANNOT_CONNECT_NOW);
    if (!isCausedByRouter) {
      rejectionThrottle.recordRejection(resume);
    }
  }

  /** Returns whether the client's input must not be processed now. */
  boolean isPaused() {
    return rejectionThrottle.isPaused();
  }

  /** Returns whether the connection has to be closed because of rejected statements. */
  boolean hasTooManyRejections() {
    return rejectionThrottle.hasTooManyRejections();
  }

  /**
   * Tells the dispatcher that the client no longer waits for an answer. Has no effect if no request
   * is in flight.
   */
  void clientDisconnected() {
    if (lastRequestId != null) {
      dispatcher.clientDisconnected(lastRequestId);
    }
  }
}
