package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import rushwood.dispatch.ClientResponder;

/**
 * The server side of version 3 of PostgreSQL's protocol on the connection of a client. Supports
 * simple queries, one request at a time.
 *
 * <p>As in a PostgreSQL server, input that follows a request stays buffered until the response to
 * that request is sent. A response for which no request is pending is dropped.
 *
 * <p>Must be used only on the event loop of the connection.
 */
public final class FrontendProtocol implements ClientResponder {
  private enum State {
    STARTUP,
    IDLE,
    /** A request was read. It is submitted unless a Terminate message follows it in the input. */
    REQUEST_READ,
    /** A request was submitted, and its response has not been sent. */
    REQUEST_PENDING,
    /** An unsupported message was read. Input is skipped up to the next Sync or Terminate. */
    SKIPPING_TO_SYNC,
    CLOSED;

    boolean readsMessages() {
      return this == STARTUP || this == IDLE || this == SKIPPING_TO_SYNC;
    }
  }

  /** Output of one call of {@link #resume}, so that input that needs much output cannot pile up. */
  private static final int MAX_BYTES_PER_WRITE = 16 << 10;

  private static final int READY_FOR_QUERY_BYTES = 6;

  private final OutputMemory outputMemory;
  private final FrontendCallbacks callbacks;
  private final FrontendMessageQueue input;
  private final StartupHandshake handshake;
  private final LocalStatements localStatements;
  private State state = State.STARTUP;
  private @Nullable ByteBuf statement; // set in state REQUEST_READ
  private boolean isDraining;
  private boolean isRejectingRequests;

  /**
   * Creates the protocol of a newly accepted connection.
   *
   * @param memory holds the input and the output
   */
  public FrontendProtocol(ClientMemory memory, FrontendCallbacks callbacks) {
    outputMemory = memory.output();
    this.callbacks = callbacks;
    input = new FrontendMessageQueue(memory.statements());
    handshake = new StartupHandshake(callbacks);
    localStatements = new LocalStatements(callbacks);
  }

  /**
   * Buffers input until {@link #resume} is called. Takes ownership of the buffer.
   *
   * @param now clock time in nanoseconds
   */
  public void buffer(ByteBuf in, long now) {
    input.feed(in, now);
  }

  /**
   * Processes buffered input up to the first request whose response is not sent immediately. A
   * Terminate message behind that request ends the connection at once, without a response, because
   * the client no longer waits for one.
   */
  public void resume() {
    writeOrRelease(readMessages());
    if (hasPendingRequest() && input.isTerminated()) {
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
    ByteBuf text = Objects.requireNonNull(statement, "no statement in state REQUEST_READ");
    statement = null;
    state = State.REQUEST_PENDING; // set first: the response may be sent within submit
    try {
      callbacks.submit(text);
    } catch (ProtocolException rejection) {
      callbacks.statementRejected(rejection);
      sendError(ErrorResponse.of(rejection));
    }
  }

  /** Reads messages up to a request or the end of input, and returns the output for them. */
  private ByteBuf readMessages() {
    ByteBuf out = outputMemory.allocate(256);
    try {
      boolean more = true;
      while (more && state.readsMessages()) {
        more = readMessage(out);
        if (more && out.readableBytes() >= MAX_BYTES_PER_WRITE) {
          callbacks.resumeLater();
          more = false;
        }
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

  /** Reads a message. Returns whether a complete message was available. */
  private boolean readMessage(ByteBuf out) throws ProtocolException {
    FrontendMessage message = input.next();
    if (message == null) {
      return false;
    }
    if (state == State.STARTUP) {
      processStartupMessage(message.body(), out);
    } else {
      processMessage(message, out);
    }
    return true;
  }

  private void processStartupMessage(ByteBuf body, ByteBuf out) throws ProtocolException {
    state =
        switch (handshake.process(body, out)) {
          case ENCRYPTION_REFUSED -> State.STARTUP;
          case CANCEL_REQUESTED -> State.CLOSED;
          case SESSION_STARTED -> State.IDLE;
        };
  }

  private void processMessage(FrontendMessage message, ByteBuf out) {
    char type = message.type();
    if (type == FrontendMessageType.TERMINATE) {
      state = State.CLOSED;
    } else if (type == FrontendMessageType.SYNC) {
      state = State.IDLE;
      MessageWriter.writeReadyForQuery(out);
    } else if (type == FrontendMessageType.QUERY) {
      if (state != State.SKIPPING_TO_SYNC) {
        processQuery(message, out);
      }
    } else if (state != State.SKIPPING_TO_SYNC && type != FrontendMessageType.FLUSH) {
      state = State.SKIPPING_TO_SYNC;
      MessageWriter.writeErrorResponse(out, ClientErrors.UNSUPPORTED_MESSAGE);
    }
  }

  private void processQuery(FrontendMessage query, ByteBuf out) {
    try {
      if (query.isRefused()) {
        throw ProtocolException.memoryShort();
      }
      readQuery(query.body(), out);
    } catch (ProtocolException rejection) {
      callbacks.statementRejected(rejection);
      MessageWriter.writeErrorResponse(out, ErrorResponse.of(rejection));
      MessageWriter.writeReadyForQuery(out);
    }
  }

  private void readQuery(ByteBuf body, ByteBuf out) throws ProtocolException {
    int end = body.indexOf(body.readerIndex(), body.writerIndex(), (byte) 0);
    if (end != body.writerIndex() - 1) {
      throw ProtocolException.rejected(
          SqlState.PROTOCOL_VIOLATION, "the query does not end with its zero");
    }
    ByteBuf text = body.slice(body.readerIndex(), end - body.readerIndex());
    if (localStatements.answerIfLocal(text, out)) {
      return;
    }
    if (isRejectingRequests) {
      callbacks.requestRejected();
      MessageWriter.writeErrorResponse(out, ClientErrors.REQUEST_REJECTED);
      MessageWriter.writeReadyForQuery(out);
    } else {
      statement = text;
      state = State.REQUEST_READ;
    }
  }

  @Override
  public void sendResult(ByteBuf row) {
    // A copy, because the row is a part of the buffers into which the host's response was read.
    ByteBuf out = outputMemory.allocate(row.readableBytes() + READY_FOR_QUERY_BYTES);
    out.writeBytes(row);
    row.release();
    MessageWriter.writeReadyForQuery(out);
    sendResponse(out);
  }

  @Override
  public void sendRejection(long retryAfterNanos) {
    ErrorResponse rejection = ClientErrors.REQUEST_REJECTED.withRetryAfter(retryAfterNanos);
    if (rejection.hasRetryAfter()) {
      callbacks.retryAfterAnnounced();
    }
    sendError(rejection);
  }

  @Override
  public void sendFailure() {
    sendError(ClientErrors.REQUEST_FAILED);
  }

  /** Sends the response to a pending request that was cancelled by a CancelRequest message. */
  public void sendCancelled() {
    sendError(ClientErrors.REQUEST_CANCELLED);
  }

  private void sendError(ErrorResponse error) {
    ByteBuf out = outputMemory.allocate(128);
    MessageWriter.writeErrorResponse(out, error);
    MessageWriter.writeReadyForQuery(out);
    sendResponse(out);
  }

  private void sendResponse(ByteBuf out) {
    if (state != State.REQUEST_PENDING) {
      out.release();
      return;
    }
    state = State.IDLE;
    callbacks.write(out);
    if (input.hasUnread()) {
      callbacks.resumeLater();
    } else if (isDraining) {
      // Not in a later task: the client's next request may have been read by then.
      closeIfDone();
    }
  }

  /**
   * Returns whether the connection can be closed without losing input: it is open, no request is
   * pending, no extended query is being skipped and no input is unread.
   */
  public boolean isIdle() {
    return (state == State.IDLE || state == State.STARTUP) && !input.hasUnread();
  }

  /**
   * Returns whether the startup message has not arrived, or input is unread although no request is
   * pending. Such input is part of a message, unless the caller has not called {@link #resume} for
   * it yet; then it may contain complete messages.
   */
  public boolean hasIncompleteMessage() {
    return switch (state) {
      case STARTUP -> true;
      case IDLE, SKIPPING_TO_SYNC -> input.hasUnread();
      case REQUEST_READ, REQUEST_PENDING, CLOSED -> false;
    };
  }

  /** Returns whether the connection is still in the startup phase. */
  public boolean isStartingUp() {
    return state == State.STARTUP;
  }

  /** Returns whether a request was read whose response has not been sent. */
  public boolean hasPendingRequest() {
    return state == State.REQUEST_READ || state == State.REQUEST_PENDING;
  }

  /** Closes the connection as soon as it {@link #isIdle}, which may be now. */
  public void drain() {
    isDraining = true;
    if (isIdle()) {
      resume();
    }
  }

  /**
   * Rejects from the next {@link #resume} on each request that is not submitted yet, in its turn
   * behind the one that is pending. Such a request is not parsed, and has not run.
   */
  public void rejectRequests() {
    isRejectingRequests = true;
  }

  /** Returns whether {@link #rejectRequests} was called. */
  public boolean isRejectingRequests() {
    return isRejectingRequests;
  }

  /** Returns the number of requests that arrived completely and wait to be processed. */
  public int queuedRequests() {
    return input.unreadQueries();
  }

  /** Sends an error in any state and closes the connection. */
  public void closeWithError(ErrorResponse error) {
    ByteBuf out = outputMemory.allocate(128);
    MessageWriter.writeErrorResponse(out, error);
    callbacks.write(out);
    state = State.CLOSED;
    closeIfDone();
  }

  /** Releases all buffered input after the connection was closed. */
  public void connectionClosed() {
    state = State.CLOSED;
    input.close();
  }

  private void closeIfDone() {
    if (isDraining && isIdle()) {
      state = State.CLOSED;
    }
    if (state == State.CLOSED) {
      input.close();
      callbacks.close();
    } else {
      input.releaseReadSegments();
    }
  }
}
