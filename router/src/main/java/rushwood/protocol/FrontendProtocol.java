package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import rushwood.dispatch.ClientResponder;

/**
 * The server's side of PostgreSQL's protocol 3 on the connection of a client: simple queries only,
 * one request at a time. As at a database, what a client sends behind a request stays unread until
 * that request is answered.
 */
public final class FrontendProtocol implements ClientResponder {
  private enum State {
    STARTUP,
    IDLE,
    /** A request was read, and is to be submitted unless a Terminate message stands behind it. */
    REQUEST_READ,
    /** A request was submitted and waits for its answer. */
    REQUEST_PENDING,
    /** After a message of the extended query protocol: all is skipped up to the Sync behind it. */
    SKIPPING_TO_SYNC,
    CLOSED;

    boolean readsMessages() {
      return this == STARTUP || this == IDLE || this == SKIPPING_TO_SYNC;
    }
  }

  /** Lengths in bytes. A value of 64 KiB takes 128 KiB in hexadecimal; as much again is spare. */
  private static final int MAX_MESSAGE_LENGTH = 256 << 10;

  private static final int MAX_STARTUP_LENGTH = 10_000; // PostgreSQL's own limit
  private static final int STARTUP_TYPE = 0; // stands for messages without a type
  private static final int EMPTY_BODY_LENGTH = 4;
  private static final int VERSION_BYTES = 4;
  private static final int CANCEL_KEY_BYTES = 8;

  private static final int SSL_REQUEST_CODE = 80877103;
  private static final int GSS_ENCRYPTION_REQUEST_CODE = 80877104;
  private static final int CANCEL_REQUEST_CODE = 80877102;
  private static final char ENCRYPTION_REFUSED = 'N';

  private static final String SHOW_COUNTERS = "SHOW COUNTERS";
  private static final int MAX_LOCAL_QUERY_LENGTH = SHOW_COUNTERS.length() + 2;

  private static final ErrorResponse REQUEST_REJECTED =
      ErrorResponse.error(SqlState.TOO_MANY_CONNECTIONS, "turned back: trying again is harmless");
  private static final ErrorResponse REQUEST_FAILED =
      ErrorResponse.error(SqlState.SYSTEM_ERROR, "given up: it may have run");
  private static final ErrorResponse REQUEST_CANCELLED =
      ErrorResponse.error(SqlState.QUERY_CANCELED, "canceling statement due to user request");
  private static final ErrorResponse UNSUPPORTED_MESSAGE =
      ErrorResponse.error(SqlState.FEATURE_NOT_SUPPORTED, "only simple queries are taken");

  private final ByteBufAllocator allocator;
  private final FrontendCallbacks callbacks;
  private final MessageReader reader;
  private State state = State.STARTUP;
  private ByteBuf statement; // of the request in state REQUEST_READ, else null
  private boolean draining;

  /** Creates the protocol of a connection on which nothing has been read. */
  public FrontendProtocol(ByteBufAllocator allocator, FrontendCallbacks callbacks) {
    this.allocator = allocator;
    this.callbacks = callbacks;
    reader = new MessageReader(allocator, FrontendProtocol::maxLength);
  }

  private static int maxLength(int type) {
    return switch (type) {
      case STARTUP_TYPE -> MAX_STARTUP_LENGTH;
      case FrontendMessageType.TERMINATE, FrontendMessageType.SYNC -> EMPTY_BODY_LENGTH;
      case FrontendMessageType.QUERY -> MAX_MESSAGE_LENGTH;
      default -> FrontendMessageType.isUnsupported(type) ? MAX_MESSAGE_LENGTH : 0;
    };
  }

  // ---- input

  /** Keeps input for {@link #resume}; takes the buffer over. */
  public void buffer(ByteBuf in) {
    reader.feed(in);
  }

  /** Keeps input and processes it; takes the buffer over. */
  public void feed(ByteBuf in) {
    buffer(in);
    resume();
  }

  /**
   * Processes buffered input up to the first request that has to wait for its answer. A Terminate
   * message behind that request ends the connection at once: its client waits for no answer.
   */
  public void resume() {
    writeOrRelease(readMessages());
    if (hasPendingRequest() && reader.hasMessageAhead(FrontendMessageType.TERMINATE)) {
      dropRequest();
    } else if (state == State.REQUEST_READ) {
      submitRequest();
    }
    closeIfDone();
  }

  private void dropRequest() {
    boolean isSubmitted = state == State.REQUEST_PENDING;
    statement = null;
    state = State.CLOSED;
    if (isSubmitted) {
      callbacks.clientTerminated();
    }
  }

  /** Reads messages up to a request or the end of input; returns what is to be written. */
  private ByteBuf readMessages() {
    ByteBuf out = allocator.buffer(256);
    try {
      boolean more = true;
      while (more && state.readsMessages()) {
        more = state == State.STARTUP ? readStartupMessage(out) : readMessage(out);
      }
    } catch (ProtocolException violation) {
      callbacks.statementRejected(violation);
      MessageWriter.writeErrorResponse(out, ErrorResponse.of(violation));
      state = State.CLOSED;
    }
    return out;
  }

  private void writeOrRelease(ByteBuf out) {
    if (out.isReadable()) {
      callbacks.write(out);
    } else {
      out.release();
    }
  }

  private void submitRequest() {
    ByteBuf text = statement;
    statement = null;
    state = State.REQUEST_PENDING; // first: the answer may come within the call
    try {
      callbacks.submit(text);
    } catch (ProtocolException rejection) {
      callbacks.statementRejected(rejection);
      answerError(ErrorResponse.of(rejection));
    }
  }

  /** Returns whether a whole message was read. */
  private boolean readStartupMessage(ByteBuf out) throws ProtocolException {
    ByteBuf message = reader.nextStartupMessage();
    if (message == null) {
      return false;
    }
    if (message.readableBytes() < VERSION_BYTES) {
      throw ProtocolException.protocolViolation("a startup message without a version");
    }
    int version = message.readInt();
    switch (version) {
      case SSL_REQUEST_CODE, GSS_ENCRYPTION_REQUEST_CODE -> out.writeByte(ENCRYPTION_REFUSED);
      case CANCEL_REQUEST_CODE -> handleCancelRequest(message);
      default -> startSession(version, out);
    }
    return true;
  }

  /** Has no answer, by the protocol: nobody is to learn whether the key was right. */
  private void handleCancelRequest(ByteBuf message) {
    state = State.CLOSED;
    if (message.readableBytes() == CANCEL_KEY_BYTES) {
      callbacks.cancelRequest(message.readLong());
    }
  }

  private void startSession(int version, ByteBuf out) throws ProtocolException {
    if (version >> 16 != MessageWriter.PROTOCOL_VERSION >> 16) {
      throw ProtocolException.fatal(
          SqlState.FEATURE_NOT_SUPPORTED, "only version 3 of the protocol is spoken");
    }
    if (version != MessageWriter.PROTOCOL_VERSION) {
      MessageWriter.writeNegotiateProtocolVersion(out);
    }
    MessageWriter.writeStartupResponse(out, callbacks.cancelKey());
    state = State.IDLE;
  }

  /** Returns whether a whole message was read. */
  private boolean readMessage(ByteBuf out) throws ProtocolException {
    ByteBuf message = reader.nextMessage();
    if (message == null) {
      return false;
    }
    char type = reader.type();
    if (type == FrontendMessageType.TERMINATE) {
      state = State.CLOSED;
    } else if (type == FrontendMessageType.SYNC) {
      state = State.IDLE;
      MessageWriter.writeReadyForQuery(out);
    } else if (type == FrontendMessageType.QUERY) {
      if (state != State.SKIPPING_TO_SYNC) {
        readQuery(message, out);
      }
    } else if (state != State.SKIPPING_TO_SYNC && type != FrontendMessageType.FLUSH) {
      state = State.SKIPPING_TO_SYNC;
      MessageWriter.writeErrorResponse(out, UNSUPPORTED_MESSAGE);
    }
    return true;
  }

  private void readQuery(ByteBuf message, ByteBuf out) {
    try {
      int end = message.indexOf(message.readerIndex(), message.writerIndex(), (byte) 0);
      if (end != message.writerIndex() - 1) {
        throw ProtocolException.rejected(
            SqlState.PROTOCOL_VIOLATION, "the query does not end with its zero");
      }
      ByteBuf text = message.slice(message.readerIndex(), end - message.readerIndex());
      if (text.readableBytes() <= MAX_LOCAL_QUERY_LENGTH && answerLocally(text, out)) {
        return;
      }
      statement = text;
      state = State.REQUEST_READ;
    } catch (ProtocolException rejection) {
      callbacks.statementRejected(rejection);
      MessageWriter.writeErrorResponse(out, ErrorResponse.of(rejection));
      MessageWriter.writeReadyForQuery(out);
    }
  }

  /** Answers the statements that need no host; returns whether this is one. */
  private boolean answerLocally(ByteBuf text, ByteBuf out) throws ProtocolException {
    String statement =
        text.toString(StandardCharsets.UTF_8).replace(';', ' ').strip().toUpperCase(Locale.ROOT);
    if (!statement.isEmpty() && !statement.equals(SHOW_COUNTERS)) {
      return false;
    }
    if (statement.equals(SHOW_COUNTERS)) {
      MessageWriter.writeRowDescription(out, "counter", "value");
      MessageWriter.writeCommandComplete(out, "SELECT " + callbacks.writeCounters(out));
    } else if (callbacks.isReady()) {
      MessageWriter.writeEmptyQueryResponse(out);
    } else {
      throw ProtocolException.rejected(SqlState.CANNOT_CONNECT_NOW, "not ready yet");
    }
    MessageWriter.writeReadyForQuery(out);
    return true;
  }

  // ---- answers; one that comes when no request is pending is dropped

  @Override
  public void sendResult(ByteBuf row) {
    ByteBuf ready = allocator.buffer(6);
    MessageWriter.writeReadyForQuery(ready);
    answer(Unpooled.wrappedBuffer(row, ready));
  }

  @Override
  public void sendRejection(long retryAfterNanos) {
    ErrorResponse rejection = REQUEST_REJECTED.withRetryAfter(retryAfterNanos);
    if (rejection.hasRetryAfter()) {
      callbacks.retryAfterAnnounced();
    }
    answerError(rejection);
  }

  @Override
  public void sendFailure() {
    answerError(REQUEST_FAILED);
  }

  /** The pending request was cancelled by a CancelRequest; its client still expects an answer. */
  public void answerCancelled() {
    answerError(REQUEST_CANCELLED);
  }

  private void answerError(ErrorResponse error) {
    ByteBuf out = allocator.buffer(128);
    MessageWriter.writeErrorResponse(out, error);
    MessageWriter.writeReadyForQuery(out);
    answer(out);
  }

  private void answer(ByteBuf out) {
    if (state != State.REQUEST_PENDING) {
      out.release();
      return;
    }
    state = State.IDLE;
    callbacks.write(out);
    if (reader.unreadBytes() > 0) {
      callbacks.resumeLater();
    } else if (draining) {
      closeIfDone(); // in the turn of the answer: a turn later the client may have sent a request
    }
  }

  // ---- state, as the connection's limits need it

  /** Whether the connection has no request, and no part of a message was read. */
  public boolean isIdle() {
    return (state == State.IDLE || state == State.STARTUP) && reader.unreadBytes() == 0;
  }

  /** Whether the client's turn is not over: its startup message or the rest of a message is due. */
  public boolean hasIncompleteMessage() {
    return switch (state) {
      case STARTUP -> true;
      case IDLE, SKIPPING_TO_SYNC -> reader.unreadBytes() > 0;
      case REQUEST_READ, REQUEST_PENDING, CLOSED -> false;
    };
  }

  /** Whether the startup message has not been answered. */
  public boolean isStartingUp() {
    return state == State.STARTUP;
  }

  /** Buffered bytes: those behind a pending request, or of an incomplete message. */
  public int unreadBytes() {
    return reader.unreadBytes();
  }

  /** Whether a request was read and waits for its answer. */
  public boolean hasPendingRequest() {
    return state == State.REQUEST_READ || state == State.REQUEST_PENDING;
  }

  // ---- end of the connection

  /** Closes the connection as soon as it {@link #isIdle}, now or later. */
  public void drain() {
    draining = true;
    if (isIdle()) {
      resume();
    }
  }

  /** Sends a fatal error, whatever the state, and closes the connection. */
  public void closeWithError(ErrorResponse error) {
    ByteBuf out = allocator.buffer(128);
    MessageWriter.writeErrorResponse(out, error);
    callbacks.write(out);
    state = State.CLOSED;
    closeIfDone();
  }

  /** The connection is closed: drops what was read. */
  public void connectionClosed() {
    state = State.CLOSED;
    reader.close();
  }

  private void closeIfDone() {
    if (draining && isIdle()) {
      state = State.CLOSED;
    }
    if (state == State.CLOSED) {
      reader.close();
      callbacks.close();
    } else {
      reader.releaseIfEmpty();
    }
  }
}
