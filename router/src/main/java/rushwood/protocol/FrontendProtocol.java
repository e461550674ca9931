package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import rushwood.dispatch.ClientResponder;

/**
 * The client side of the protocol, fed what a client writes. One statement at a time: what follows
 * waits unread until the answer is out, as it does at a database.
 */
public final class FrontendProtocol implements ClientResponder {
  /** What the protocol needs of its connection and of the router. */
  public interface Callbacks {
    boolean isReady();

    /** An access; its answer comes through the methods of {@link Client}. */
    void submit(ByteBuf text) throws ProtocolException;

    /** Writes the counters as rows. */
    int writeCounters(ByteBuf out);

    void statementRejected(ProtocolException cause);

    /** Takes the buffer over. */
    void write(ByteBuf out);

    /** The answer that is written next tells when to come back. */
    void retryAfterAnnounced();

    /** By what a request on another connection cancels what runs on this one. */
    long cancelKey();

    /** Such a request. */
    void cancelRequest(long key);

    /** Its client ended the session while its access was open. */
    void clientTerminated();

    /** Ends it once all is written. */
    void close();

    /** Calls {@link ClientProtocol#resume} in a later turn. */
    void resumeLater();
  }

  private enum State {
    STARTUP,
    IDLE,
    REQUEST_PENDING,
    SKIPPING_TO_SYNC,
    CLOSED
  }

  private static final int MAX_MESSAGE_LENGTH =
      256 << 10; // a value of 64 KiB is 128 KiB as hex, and as much again
  private static final int MAX_STARTUP_LENGTH = 10_000; // as at PostgreSQL
  private static final String EXTENDED_QUERY_TYPES =
      "PBDECFHdcf"; // answered with an error, skipped up to their Sync
  private static final int SSL_REQUEST_CODE = 80877103;
  private static final int GSS_ENCRYPTION_REQUEST_CODE = 80877104;
  private static final int CANCEL_REQUEST_CODE = 80877102;
  private static final int CANCEL_KEY_BYTES = 8;
  private static final char TERMINATE = 'X';
  private static final String SHOW_COUNTERS = "SHOW COUNTERS";

  private final ByteBufAllocator allocator;
  private final Callbacks callbacks;
  private final MessageReader reader;
  private State state = State.STARTUP;
  private ByteBuf pendingStatement;
  private boolean draining;

  public FrontendProtocol(ByteBufAllocator allocator, Callbacks callbacks) {
    this.allocator = allocator;
    this.callbacks = callbacks;
    reader = new MessageReader(allocator, FrontendProtocol::maxLength);
  }

  private static int maxLength(int type) {
    return switch (type) {
      case 0 -> MAX_STARTUP_LENGTH;
      case 'X', 'S' -> 4;
      case 'Q' -> MAX_MESSAGE_LENGTH;
      default -> EXTENDED_QUERY_TYPES.indexOf(type) >= 0 ? MAX_MESSAGE_LENGTH : 0;
    };
  }

  /** Takes the buffer over, for {@link #resume} to go on with. */
  public void buffer(ByteBuf in) {
    reader.feed(in);
  }

  /** Takes the buffer over and goes on with it. */
  public void feed(ByteBuf in) {
    buffer(in);
    resume();
  }

  /**
   * Goes on with what was read, up to an access that has to wait for its answer; looks behind that
   * for its end.
   */
  public void resume() {
    ByteBuf out = allocator.buffer(256);
    try {
      boolean more = true;
      while (more
          && (state == State.STARTUP || state == State.IDLE || state == State.SKIPPING_TO_SYNC)) {
        more = state == State.STARTUP ? readStartupMessage(out) : readMessage(out);
      }
    } catch (ProtocolException violation) {
      callbacks.statementRejected(violation);
      MessageWriter.writeErrorResponse(out, true, violation.sqlState, violation.getMessage(), null);
      state = State.CLOSED;
    }
    if (out.isReadable()) {
      callbacks.write(out);
    } else {
      out.release();
    }
    // Whoever has terminated waits for nothing any more, however much it wrote before.
    if ((pendingStatement != null || state == State.REQUEST_PENDING)
        && reader.hasMessageAhead(TERMINATE)) {
      boolean submitted = pendingStatement == null;
      pendingStatement = null;
      state = State.CLOSED;
      if (submitted) {
        callbacks.clientTerminated();
      }
    } else if (pendingStatement != null) {
      submitPendingStatement();
    }
    closeIfDone();
  }

  /** Hands an access over, after what was to be written before its answer. */
  private void submitPendingStatement() {
    ByteBuf text = pendingStatement;
    pendingStatement = null;
    try {
      callbacks.submit(text);
    } catch (ProtocolException rejection) {
      callbacks.statementRejected(rejection);
      answerError(rejection.sqlState, rejection.getMessage(), null);
    }
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

  private boolean readStartupMessage(ByteBuf out) throws ProtocolException {
    ByteBuf message = reader.nextStartupMessage();
    if (message == null) {
      return false;
    }
    if (message.readableBytes() < 4) {
      throw ProtocolException.protocolViolation("a startup message without a version");
    }
    int version = message.readInt();
    if (version == SSL_REQUEST_CODE || version == GSS_ENCRYPTION_REQUEST_CODE) {
      out.writeByte('N');
    } else if (version == CANCEL_REQUEST_CODE) {
      state =
          State.CLOSED; // with no answer, by the protocol: nobody learns whether the key was right
      if (message.readableBytes() == CANCEL_KEY_BYTES) {
        callbacks.cancelRequest(message.readLong());
      }
    } else if (version >> 16 != MessageWriter.PROTOCOL_VERSION >> 16) {
      throw new ProtocolException("0A000", "only version 3 of the protocol is spoken", true);
    } else {
      if (version != MessageWriter.PROTOCOL_VERSION) {
        MessageWriter.writeNegotiateProtocolVersion(out);
      }
      MessageWriter.writeStartupResponse(out, callbacks.cancelKey());
      state = State.IDLE;
    }
    return true;
  }

  private boolean readMessage(ByteBuf out) throws ProtocolException {
    ByteBuf message = reader.nextMessage();
    if (message == null) {
      return false;
    }
    char type = reader.type();
    if (type == TERMINATE) {
      state = State.CLOSED;
    } else if (type == 'S') {
      state = State.IDLE;
      MessageWriter.writeReadyForQuery(out);
    } else if (type == 'Q') {
      if (state != State.SKIPPING_TO_SYNC) {
        readQuery(message, out);
      }
    } else if (state != State.SKIPPING_TO_SYNC && type != 'H') {
      state = State.SKIPPING_TO_SYNC; // up to the Sync that ends what we do not speak
      MessageWriter.writeErrorResponse(out, false, "0A000", "only simple queries are taken", null);
    }
    return true;
  }

  private void readQuery(ByteBuf message, ByteBuf out) {
    try {
      int end = message.indexOf(message.readerIndex(), message.writerIndex(), (byte) 0);
      if (end != message.writerIndex() - 1) {
        throw new ProtocolException("08P01", "the query does not end with its zero", false);
      }
      ByteBuf text = message.slice(message.readerIndex(), end - message.readerIndex());
      if (text.readableBytes() <= SHOW_COUNTERS.length() + 2 && answerLocally(text, out)) {
        return;
      }
      pendingStatement = text;
      state = State.REQUEST_PENDING;
    } catch (ProtocolException rejection) {
      callbacks.statementRejected(rejection);
      MessageWriter.writeErrorResponse(
          out, false, rejection.sqlState, rejection.getMessage(), null);
      MessageWriter.writeReadyForQuery(out);
    }
  }

  /** Statements that need no host. */
  private boolean answerLocally(ByteBuf text, ByteBuf out) throws ProtocolException {
    String words =
        text.toString(StandardCharsets.UTF_8).replace(';', ' ').strip().toUpperCase(Locale.ROOT);
    if (!words.isEmpty() && !words.equals(SHOW_COUNTERS)) {
      return false;
    }
    if (words.equals(SHOW_COUNTERS)) {
      MessageWriter.writeRowDescription(out, "counter", "value");
      MessageWriter.writeCommandComplete(out, "SELECT " + callbacks.writeCounters(out));
    } else if (callbacks.isReady()) {
      MessageWriter.writeEmptyMessage(out, 'I');
    } else {
      throw new ProtocolException("57P03", "not ready yet", false);
    }
    MessageWriter.writeReadyForQuery(out);
    return true;
  }

  // ---- answers

  @Override
  public void sendResult(ByteBuf row) {
    ByteBuf ready = allocator.buffer(6);
    MessageWriter.writeReadyForQuery(ready);
    answer(Unpooled.wrappedBuffer(row, ready));
  }

  @Override
  public void sendRejection(long retryAfterNanos) {
    if (retryAfterNanos > 0) {
      callbacks.retryAfterAnnounced();
    }
    answerError(
        "53300", "turned back: trying again is harmless", retryAfterMillis(retryAfterNanos));
  }

  /** A wait as it is told: whole milliseconds, rounded up; null for none. */
  public static String retryAfterMillis(long retryAfterNanos) {
    return retryAfterNanos > 0 ? Long.toString((retryAfterNanos + 999_999) / 1_000_000) : null;
  }

  @Override
  public void sendFailure() {
    answerError("58000", "given up: it may have run", null);
  }

  /** Its client asked for that, and is owed an answer all the same. */
  public void answerCancelled() {
    answerError("57014", "canceling statement due to user request", null);
  }

  private void answerError(String sqlState, String message, String detail) {
    ByteBuf out = allocator.buffer(128);
    MessageWriter.writeErrorResponse(out, false, sqlState, message, detail);
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
      closeIfDone(); // with the answer: a turn later its client may have asked again
    }
  }

  // ---- the end

  /** From now on the connection closes as soon as no access is in it, read or half read. */
  public void drain() {
    draining = true;
    if (isIdle()) {
      resume();
    }
  }

  /** Whether no access is in it, open or half read. */
  public boolean isIdle() {
    return (state == State.IDLE || state == State.STARTUP) && reader.unreadBytes() == 0;
  }

  /** Whether it owes us something: its startup message, or the rest of a message. */
  public boolean hasIncompleteMessage() {
    return state == State.STARTUP
        || reader.unreadBytes() > 0 && (state == State.IDLE || state == State.SKIPPING_TO_SYNC);
  }

  public boolean isStartingUp() {
    return state == State.STARTUP;
  }

  /** Bytes read that wait behind an access, or for the rest of their message. */
  public int unreadBytes() {
    return reader.unreadBytes();
  }

  /** Whether an access waits for its answer. */
  public boolean hasPendingRequest() {
    return state == State.REQUEST_PENDING;
  }

  /** Ends a connection that there is no room for. */
  public void closeWithError(String sqlState, String message, String detail) {
    ByteBuf out = allocator.buffer(128);
    MessageWriter.writeErrorResponse(out, true, sqlState, message, detail);
    callbacks.write(out);
    state = State.CLOSED;
    closeIfDone();
  }

  /** The connection is gone. */
  public void connectionClosed() {
    state = State.CLOSED;
    reader.close();
  }
}
