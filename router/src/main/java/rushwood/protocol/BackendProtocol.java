package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import org.jspecify.annotations.Nullable;
import rushwood.api.AttemptOutcome;
import rushwood.dispatch.BackendConnection;
import rushwood.dispatch.BackendResponse;

/**
 * The client's side of PostgreSQL's protocol 3 on a connection to a host: simple queries, one
 * statement at a time, whose responses are passed to a {@link BackendConnection.Listener}.
 *
 * <p>A response is reported at the end of the read in which it became complete, by {@link
 * #completeRead}. Anything that follows it in the same read belongs to no statement and would be
 * taken for the response to the next one, so the connection is not used again.
 */
public final class BackendProtocol {
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
  private final MessageReader reader;
  private final ResponseAssembler response;
  private State state = State.STARTUP;
  private boolean isMalformed;

  /** Creates the protocol of a connection that has just been opened. */
  public BackendProtocol(ByteBufAllocator allocator, BackendConnection.Listener listener) {
    this.listener = listener;
    reader = new MessageReader(allocator, MessageLimits::ofHost);
    response = new ResponseAssembler(allocator);
  }

  /**
   * Call before a statement is written; only if the connection {@link #isUsable}.
   *
   * @param isHealthCheck whether the response is a load report
   */
  public void beginStatement(boolean isHealthCheck) {
    state = State.AWAITING_RESPONSE;
    response.begin(isHealthCheck);
  }

  /** Whether the next statement may be sent. */
  public boolean isUsable() {
    return state == State.IDLE && reader.unreadBytes() == 0;
  }

  /** Processes input; takes the buffer over. Returns false if the connection has to be closed. */
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
   * Call when all that has arrived was fed: reports a complete response. Returns false if the
   * connection has to be closed, as data followed the response.
   */
  public boolean completeRead() {
    if (state != State.RESPONSE_COMPLETE) {
      return true;
    }
    boolean isReusable = reader.unreadBytes() == 0;
    state = isReusable ? State.IDLE : State.CLOSED;
    listener.responseReceived(response.take(), isReusable);
    return isReusable;
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
          handleRowPart(type, message);
      case BackendMessageType.READY_FOR_QUERY -> handleReadyForQuery(message);
      default -> throw ProtocolException.protocolViolation("a message of unexpected type");
    }
  }

  private void handleAuthentication(ByteBuf message) throws ProtocolException {
    if (state != State.STARTUP
        || message.readableBytes() != Integer.BYTES
        || message.readInt() != AUTHENTICATION_OK) {
      throw ProtocolException.protocolViolation("an unexpected authentication message");
    }
  }

  private void handleRowPart(char type, ByteBuf message) throws ProtocolException {
    if (state != State.AWAITING_RESPONSE) {
      throw ProtocolException.protocolViolation("a part of a row out of order");
    }
    response.addRowPart(type, message);
  }

  private void handleParameterStatus(ByteBuf message) throws ProtocolException {
    String name = CString.read(message);
    String value = CString.read(message);
    if (message.isReadable()) {
      throw ProtocolException.protocolViolation("a parameter that does not end");
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
      throw ProtocolException.protocolViolation("an error that answers nothing");
    }
  }

  private void handleReadyForQuery(ByteBuf message) throws ProtocolException {
    if (message.readableBytes() != 1 || message.readByte() != TRANSACTION_STATUS_IDLE) {
      throw ProtocolException.protocolViolation("ReadyForQuery where none is expected");
    }
    if (state == State.STARTUP) {
      state = State.IDLE;
      listener.connected();
    } else if (state == State.AWAITING_RESPONSE && response.hasOutcome()) {
      state = State.RESPONSE_COMPLETE;
    } else {
      throw ProtocolException.protocolViolation("ready without an answer");
    }
  }

  /**
   * The connection was closed, or {@link #feed} or {@link #completeRead} said that it has to be. A
   * row or an error that is complete still counts, though ReadyForQuery is missing.
   *
   * @param accepted whether the host had accepted the connection
   */
  public void connectionLost(boolean accepted) {
    State previous = state;
    state = State.CLOSED;
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

  /** The router closes the connection; the listener hears nothing more. */
  public void close() {
    state = State.CLOSED;
    reader.close();
    response.release();
  }
}
