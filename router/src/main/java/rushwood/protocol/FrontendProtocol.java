package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import rushwood.dispatch.ClientResponder;

/**
 * The server's side of PostgreSQL's protocol 3 on the connection of a client: simple queries only,
 * one request at a time. As at a database, what a client sends behind a request stays unread until
 * that request is answered. An answer that comes when no request is pending is dropped. Used on the
 * event loop of the connection only.
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

  private final ByteBufAllocator allocator;
  private final FrontendCallbacks callbacks;
  private final MessageReader reader;
  private final StartupHandshake handshake;
  private final LocalStatements localStatements;
  private State state = State.STARTUP;
  private @Nullable ByteBuf statement; // of the request in state REQUEST_READ
  private boolean isDraining;

  /** Creates the protocol of a connection on which nothing has been read. */
  public FrontendProtocol(ByteBufAllocator allocator, FrontendCallbacks callbacks) {
    this.allocator = allocator;
    this.callbacks = callbacks;
    reader = new MessageReader(allocator, MessageLimits::ofClient);
    handshake = new StartupHandshake(callbacks);
    localStatements = new LocalStatements(callbacks);
  }

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

  private void submitRequest() {
    ByteBuf text = Objects.requireNonNull(statement, "comes with the state REQUEST_READ");
    statement = null;
    state = State.REQUEST_PENDING; // first: the answer may come within the call
    try {
      callbacks.submit(text);
    } catch (ProtocolException rejection) {
      callbacks.statementRejected(rejection);
      answerError(ErrorResponse.of(rejection));
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

  /** Returns whether a whole message was read. */
  private boolean readStartupMessage(ByteBuf out) throws ProtocolException {
    ByteBuf message = reader.nextStartupMessage();
    if (message == null) {
      return false;
    }
    state =
        switch (handshake.process(message, out)) {
          case ENCRYPTION_REFUSED -> State.STARTUP;
          case CANCEL_REQUESTED -> State.CLOSED;
          case SESSION_STARTED -> State.IDLE;
        };
    return true;
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
      MessageWriter.writeErrorResponse(out, ClientErrors.UNSUPPORTED_MESSAGE);
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
      if (!localStatements.answer(text, out)) {
        statement = text;
        state = State.REQUEST_READ;
      }
    } catch (ProtocolException rejection) {
      callbacks.statementRejected(rejection);
      MessageWriter.writeErrorResponse(out, ErrorResponse.of(rejection));
      MessageWriter.writeReadyForQuery(out);
    }
  }

  @Override
  public void sendResult(ByteBuf row) {
    ByteBuf ready = allocator.buffer(6);
    MessageWriter.writeReadyForQuery(ready);
    answer(Unpooled.wrappedBuffer(row, ready));
  }

  @Override
  public void sendRejection(long retryAfterNanos) {
    ErrorResponse rejection = ClientErrors.REQUEST_REJECTED.withRetryAfter(retryAfterNanos);
    if (rejection.hasRetryAfter()) {
      callbacks.retryAfterAnnounced();
    }
    answerError(rejection);
  }

  @Override
  public void sendFailure() {
    answerError(ClientErrors.REQUEST_FAILED);
  }

  /** The pending request was cancelled by a CancelRequest; its client still expects an answer. */
  public void sendCancelled() {
    answerError(ClientErrors.REQUEST_CANCELLED);
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
    } else if (isDraining) {
      closeIfDone(); // in the turn of the answer: a turn later the client may have sent a request
    }
  }

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

  /** Closes the connection as soon as it {@link #isIdle}, now or later. */
  public void drain() {
    isDraining = true;
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
    if (isDraining && isIdle()) {
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
