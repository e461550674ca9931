package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import org.jspecify.annotations.Nullable;
import rushwood.api.AttemptOutcome;
import rushwood.dispatch.BackendConnection;
import rushwood.dispatch.BackendResponse;

/**
 * The client side of version 3 of PostgreSQL's protocol on a connection to a host. Supports simple
 * queries, one statement at a time, and reports each response to a {@link
 * BackendConnection.Listener}.
 *
 * <p>A response is reported by {@link #completeRead}, at the end of the read that completed it.
 * Data that follows the response in the same read belongs to no statement and would be mistaken for
 * the response to the next one, so the connection is not reused.
 */
public final class BackendProtocol implements ResponseMemory.IncompleteResponse {
  private enum State {
    STARTUP,
    IDLE,
    AWAITING_RESPONSE,
    RESPONSE_COMPLETE,
    CLOSED
  }

  private static final int AUTHENTICATION_OK = 0;
  private static final char TRANSACTION_STATUS_IDLE = 'I';

  private final BackendConnection.Listener listener;
  private final ResponseMemory memory;
  private final Runnable endConnection;
  private final MessageReader reader;
  private final ResponseAssembler response;
  private State state = State.STARTUP;
  private boolean isMalformed;

  /**
   * Creates the protocol of a newly opened connection.
   *
   * @param memory holds responses that arrive in parts
   * @param listener notified of the startup, of responses and of the end of the connection
   * @param endConnection closes the connection and calls {@link #connectionLost}, for lack of
   *     memory
   */
  public BackendProtocol(
      ByteBufAllocator allocator,
      ResponseMemory memory,
      BackendConnection.Listener listener,
      Runnable endConnection) {
    this.listener = listener;
    this.memory = memory;
    this.endConnection = endConnection;
    reader = new MessageReader(memory.allocator(), MessageLimits::maxHostMessageBytes);
    response = new ResponseAssembler(allocator);
  }

  /**
   * Prepares for the response to a statement that is about to be written. Requires {@link
   * #isUsable}.
   *
   * @param isHealthCheck whether the row of the response is a load report
   */
  public void beginStatement(boolean isHealthCheck) {
    state = State.AWAITING_RESPONSE;
    response.begin(isHealthCheck);
  }

  /** Returns whether the next statement may be sent. */
  public boolean isUsable() {
    return state == State.IDLE && reader.unreadBytes() == 0;
  }

  /**
   * Processes input and takes ownership of the buffer.
   *
   * @return false if the connection must be closed because the host refused it or violated the
   *     protocol
   */
  public boolean feed(ByteBuf in) {
    reader.feed(in);
    try {
      for (ByteBuf message = nextMessage(); message != null; message = nextMessage()) {
        handleMessage(message);
      }
      reader.releaseIfEmpty();
      return state != State.CLOSED;
    } catch (ProtocolException violation) {
      isMalformed = true;
      return false;
    }
  }

  private @Nullable ByteBuf nextMessage() throws ProtocolException {
    return state == State.CLOSED || state == State.RESPONSE_COMPLETE ? null : reader.nextMessage();
  }

  /**
   * Reports the response if it is complete. Called at the end of each read, after {@link #feed}.
   * May end this connection or others for lack of memory.
   *
   * @return false if the connection must be closed because data followed the response
   */
  public boolean completeRead() {
    if (state != State.RESPONSE_COMPLETE) {
      keepIncompleteResponse();
      return true;
    }
    memory.responseEnded(this);
    boolean isReusable = reader.unreadBytes() == 0;
    state = isReusable ? State.IDLE : State.CLOSED;
    listener.responseReceived(response.take(), isReusable);
    return isReusable;
  }

  private void keepIncompleteResponse() {
    reader.keepUnread();
    response.keepRow(memory.allocator());
    if (reader.unreadBytes() > 0 || response.hasRow()) {
      memory.responseGrew(this);
    }
  }

  @Override
  public void abandon() {
    endConnection.run();
  }

  private void handleMessage(ByteBuf message) throws ProtocolException {
    char type = reader.type();
    switch (type) {
      case BackendMessageType.NOTICE_RESPONSE, BackendMessageType.BACKEND_KEY_DATA -> {}
      case BackendMessageType.PARAMETER_STATUS -> handleParameterStatus(message);
      case BackendMessageType.AUTHENTICATION -> handleAuthentication(message);
      case BackendMessageType.ERROR_RESPONSE -> handleErrorResponse(message);
      case BackendMessageType.ROW_DESCRIPTION,
          BackendMessageType.DATA_ROW,
          BackendMessageType.COMMAND_COMPLETE ->
          handleRowMessage(type, message);
      case BackendMessageType.READY_FOR_QUERY -> handleReadyForQuery(message);
      default -> throw ProtocolException.protocolViolation("unexpected message type");
    }
  }

  private void handleAuthentication(ByteBuf message) throws ProtocolException {
    if (state != State.STARTUP
        || message.readableBytes() != Integer.BYTES
        || message.readInt() != AUTHENTICATION_OK) {
      throw ProtocolException.protocolViolation("unexpected authentication message");
    }
  }

  private void handleRowMessage(char type, ByteBuf message) throws ProtocolException {
    if (state != State.AWAITING_RESPONSE) {
      throw ProtocolException.protocolViolation("row message without a pending statement");
    }
    response.addRowMessage(type, message);
  }

  private void handleParameterStatus(ByteBuf message) throws ProtocolException {
    String name = CString.read(message);
    String value = CString.read(message);
    if (message.isReadable()) {
      throw ProtocolException.protocolViolation("ParameterStatus with trailing bytes");
    }
    if (state == State.AWAITING_RESPONSE) {
      response.addParameter(name, value);
    }
  }

  private void handleErrorResponse(ByteBuf message) throws ProtocolException {
    String sqlState = ErrorResponseParser.parseSqlState(message);
    if (state == State.STARTUP) {
      state = State.CLOSED;
      AttemptOutcome outcome =
          sqlState.equals(SqlState.TOO_MANY_CONNECTIONS)
              ? AttemptOutcome.OVERLOADED
              : AttemptOutcome.CONNECT_FAILED;
      listener.responseReceived(BackendResponse.withoutRow(outcome), false);
    } else if (state == State.AWAITING_RESPONSE && !response.hasOutcome()) {
      response.addError(sqlState);
    } else {
      throw ProtocolException.protocolViolation("unexpected ErrorResponse");
    }
  }

  private void handleReadyForQuery(ByteBuf message) throws ProtocolException {
    if (message.readableBytes() != 1 || message.readByte() != TRANSACTION_STATUS_IDLE) {
      throw ProtocolException.protocolViolation("malformed ReadyForQuery or open transaction");
    }
    if (state == State.STARTUP) {
      state = State.IDLE;
      listener.connected();
    } else if (state == State.AWAITING_RESPONSE && response.hasOutcome()) {
      state = State.RESPONSE_COMPLETE;
    } else {
      throw ProtocolException.protocolViolation("ReadyForQuery without a complete response");
    }
  }

  /**
   * Handles the end of the connection: it was closed, or {@link #feed} or {@link #completeRead}
   * returned false. A complete row or error is still reported as the response, even if
   * ReadyForQuery has not arrived. Otherwise a response that violates the protocol is reported as
   * {@link AttemptOutcome#MALFORMED}, and any other end as a lost connection.
   *
   * @param accepted whether the host had accepted the connection
   */
  public void connectionLost(boolean accepted) {
    State previous = state;
    state = State.CLOSED;
    memory.responseEnded(this);
    reader.close();
    boolean wasInUse = previous == State.AWAITING_RESPONSE || previous == State.RESPONSE_COMPLETE;
    if (wasInUse && response.hasOutcome()) {
      listener.responseReceived(response.take(), false);
    } else if (previous == State.AWAITING_RESPONSE && isMalformed) {
      response.release();
      listener.responseReceived(BackendResponse.withoutRow(AttemptOutcome.MALFORMED), false);
    } else if (previous != State.CLOSED) {
      response.release();
      listener.connectionLost(accepted);
    }
  }

  /** Releases all buffers when the router closes the connection; the listener is not notified. */
  public void close() {
    state = State.CLOSED;
    memory.responseEnded(this);
    reader.close();
    response.release();
  }
}
