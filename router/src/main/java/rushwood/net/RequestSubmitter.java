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
 * Checks the statements of one client and submits them to the dispatcher as requests, one after the
 * other. A client whose statements are not acceptable is slowed down by a {@link
 * RejectionThrottle}.
 */
final class RequestSubmitter {
  private final RequestDispatcher dispatcher;
  private final List<RequestClass> requestClasses;
  private final StatementMemory statementMemory;
  private final ConnectionAdmission admission;
  private final RejectionThrottle rejections;
  private @Nullable RequestId lastRequestId;
  private int lastRequestBytes;

  /** Creates the submitter of a client that may name the given classes. */
  RequestSubmitter(
      RequestDispatcher dispatcher,
      List<RequestClass> requestClasses,
      StatementMemory statementMemory,
      ConnectionAdmission admission,
      RejectionThrottle rejections) {
    this.dispatcher = dispatcher;
    this.requestClasses = requestClasses;
    this.statementMemory = statementMemory;
    this.admission = admission;
    this.rejections = rejections;
  }

  /** Whether requests can be served. */
  boolean isReady() {
    return dispatcher.hasEndpoints();
  }

  /**
   * Parses a statement for {@link #submit}, which has to follow.
   *
   * @throws ProtocolException if it cannot be parsed, memory is short, its id is in use, or its
   *     group is unknown
   */
  SqlStatement accept(ByteBuf text) throws ProtocolException {
    SqlStatement statement = SqlStatementParser.parse(text, requestClasses);
    try {
      checkAcceptable(statement);
    } catch (ProtocolException rejection) {
      statement.release();
      throw rejection;
    }
    rejections.reset();
    return statement;
  }

  private void checkAcceptable(SqlStatement statement) throws ProtocolException {
    if (!statementMemory.hasRoomFor(statement.text().readableBytes())) {
      throw ProtocolException.rejected(
          SqlState.TOO_MANY_CONNECTIONS, "memory is short: trying again is harmless");
    }
    if (dispatcher.isRequestIdInUse(statement.id())) {
      throw ProtocolException.rejected(SqlState.INVALID_PARAMETER_VALUE, "the id is not new");
    }
    if (!dispatcher.hasGroup(statement.group())) {
      throw ProtocolException.rejected(SqlState.INVALID_PARAMETER_VALUE, "the cluster is unknown");
    }
  }

  /**
   * Submits an accepted statement; its answer may come within this call.
   *
   * @param earliestArrival when it may have been sent at the earliest
   */
  void submit(
      SqlStatement statement, int messageBytes, long earliestArrival, ClientResponder responder) {
    admission.recordRequest(lastRequestId != null);
    lastRequestId = statement.id();
    lastRequestBytes = messageBytes;
    dispatcher.requestReceived(statement, earliestArrival, responder);
  }

  /**
   * A statement or another message was rejected. Slows the client down, unless the rejection is for
   * the router's own state.
   *
   * @param resume runs at the end of a pause, if there is one
   */
  void statementRejected(ProtocolException rejection, Runnable resume) {
    String sqlState = rejection.sqlState();
    boolean isCausedByRouter =
        sqlState.equals(SqlState.TOO_MANY_CONNECTIONS)
            || sqlState.equals(SqlState.CANNOT_CONNECT_NOW);
    if (!isCausedByRouter) {
      rejections.recordRejection(resume);
    }
  }

  /** Whether the client is slowed down now. */
  boolean isPaused() {
    return rejections.isPaused();
  }

  /** Whether so many statements were rejected that the connection has to be closed. */
  boolean hasTooManyRejections() {
    return rejections.isExceeded();
  }

  /** The length of the text of the last request, in bytes. */
  int lastRequestBytes() {
    return lastRequestBytes;
  }

  /** The client waits for no answer any more; has no effect without a request in flight. */
  void clientDisconnected() {
    if (lastRequestId != null) {
      dispatcher.clientDisconnected(lastRequestId);
    }
  }
}
