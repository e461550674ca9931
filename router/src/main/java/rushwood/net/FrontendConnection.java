package rushwood.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import rushwood.api.RequestId;
import rushwood.dispatch.Counter;
import rushwood.dispatch.Counters;
import rushwood.dispatch.EventLoopClock;
import rushwood.overload.ConnectionAdmission.AdmittedConnection;
import rushwood.overload.ConnectionAdmission.ConnectionState;
import rushwood.protocol.ClientErrors;
import rushwood.protocol.ErrorResponse;
import rushwood.protocol.FrontendCallbacks;
import rushwood.protocol.FrontendProtocol;
import rushwood.protocol.MessageWriter;
import rushwood.protocol.ProtocolException;
import rushwood.protocol.SqlState;
import rushwood.protocol.SqlStatement;
import rushwood.protocol.SqlStatementParser;

/**
 * The connection of a client: reads and writes for a {@link FrontendProtocol}, and limits what the
 * client may send ahead of its answers and how long it may take over a message. Created on the
 * event loop of its channel and used on no other thread.
 */
final class FrontendConnection extends LingeringClose implements FrontendCallbacks {
  // What a client may send ahead of its answers: eight statements of the maximum length. It is read
  // even while nothing of it can be processed, since the end of the connection comes after it and
  // has to be noticed. The excess is dropped, and the connection is closed with an error after the
  // answer that is due. The cost: clients that pipeline more than that lose their connection.
  private static final int MAX_PIPELINED_BYTES = 1 << 20;
  private static final int MAX_PIPELINED_BYTES_LOW_MEMORY = 64 << 10;

  // For the rest of a message, or for the client to read its answers. The platform expects an end
  // within 3 s.
  private static final long MESSAGE_TIMEOUT_NANOS = 2_400_000_000L;

  private final ConnectionContext shared;
  private final EventLoopClock clock;
  private final Counters counters;
  private final FrontendProtocol protocol;
  private final RejectionThrottle rejections;
  private final long cancelKey;
  private final AdmittedConnection admitted;
  private RequestId lastRequestId; // null before the first request
  private int lastRequestBytes;
  private int countedBytes; // what this connection has added to the statement memory
  private long lastActivity; // when the last bytes were read or written
  private long incompleteSince; // when the bytes began that make no whole message yet
  private boolean retryAfterSent; // as the answer to the last request
  private boolean pipelinedTooMuch; // input is dropped, and the connection will be closed
  private boolean resumeScheduled;
  private boolean startedUp;
  private boolean answered; // something was sent after the startup response

  FrontendConnection(Channel channel, ConnectionContext shared) {
    super(channel);
    this.shared = shared;
    clock = shared.clock();
    counters = shared.counters();
    cancelKey = shared.registry().nextCancelKey();
    lastActivity = clock.now();
    incompleteSince = lastActivity;
    protocol = new FrontendProtocol(channel.alloc(), this);
    rejections = new RejectionThrottle(clock, shared.timers());
    admitted = shared.registry().add(this, lastActivity);
  }

  // ---- input

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf in = (ByteBuf) message;
    if (isLingering()) {
      discard(in);
      return;
    }
    lastActivity = clock.now();
    if (!protocol.hasIncompleteMessage()) {
      incompleteSince = lastActivity;
    }
    pipelinedTooMuch |= exceedsPipelineLimit(protocol.unreadBytes() + in.readableBytes());
    if (pipelinedTooMuch) {
      in.release();
      return;
    }
    protocol.buffer(in);
    updateStatementMemory();
    updateAdmissionState();
    resumeLater();
  }

  private boolean exceedsPipelineLimit(int unreadBytes) {
    boolean mustWait = protocol.hasPendingRequest() || isProcessingPaused();
    if (mustWait && unreadBytes > MAX_PIPELINED_BYTES) {
      return true;
    }
    StatementMemory memory = shared.statementMemory();
    boolean isMemoryShort = mustWait ? memory.isLow() : memory.isExhausted();
    return isMemoryShort && unreadBytes > MAX_PIPELINED_BYTES_LOW_MEMORY;
  }

  /** Whether the client is slowed down, or has to read its answers first. */
  private boolean isProcessingPaused() {
    return rejections.isPaused() || !channel.isWritable();
  }

  /**
   * Input is processed in a later turn than it is read, so that the end of the connection is
   * noticed first if it has arrived too: then nobody waits for an answer.
   */
  @Override
  public void resumeLater() {
    if (!resumeScheduled) {
      resumeScheduled = true;
      channel.eventLoop().execute(this::resume);
    }
  }

  private void resume() {
    resumeScheduled = false;
    if (!counters.runSafely(this::processInput)) {
      channel.close(); // its buffers must not stay until the client sends more
    }
  }

  private void processInput() {
    if (isLingering() || !channel.isOpen() || isProcessingPaused()) {
      return;
    }
    if (rejections.isExceeded()) {
      protocol.closeWithError(ClientErrors.TOO_MANY_REJECTIONS);
      return;
    }
    protocol.resume();
    updateStatementMemory();
    enforceMemoryLimits();
    updateAdmissionState();
  }

  /** A pending request is never refused for want of memory, only what is incomplete. */
  private void enforceMemoryLimits() {
    if (pipelinedTooMuch && !protocol.hasPendingRequest() && !isLingering()) {
      refuse(ClientErrors.TOO_MUCH_PIPELINED);
    } else if (shared.statementMemory().isExhausted()
        && protocol.unreadBytes() > MAX_PIPELINED_BYTES_LOW_MEMORY
        && protocol.hasIncompleteMessage()
        && !isLingering()) {
      refuse(ClientErrors.OUT_OF_MEMORY);
    }
  }

  private void refuse(ErrorResponse reason) {
    counters.increment(Counter.CLIENTS_REFUSED);
    protocol.closeWithError(reason);
  }

  /** Counts what is held for this client: unread input, and the pending request. */
  private void updateStatementMemory() {
    int heldBytes = isOpen() ? protocol.unreadBytes() + pendingRequestBytes() : 0;
    shared.statementMemory().adjust(heldBytes - countedBytes);
    countedBytes = heldBytes;
  }

  private boolean isOpen() {
    return !isLingering() && shared.registry().contains(this);
  }

  private int pendingRequestBytes() {
    return protocol.hasPendingRequest() ? lastRequestBytes : 0;
  }

  /**
   * No further statement is processed until the client has read its answers, as those it does not
   * read would fill the memory.
   */
  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    resumeLater();
  }

  /** Closes the connection if the client takes too long to read, or to complete a message. */
  void checkTimeouts() {
    long oldest = clock.now() - MESSAGE_TIMEOUT_NANOS;
    if (!channel.isWritable() && lastActivity <= oldest) {
      channel.close();
    } else if (protocol.hasIncompleteMessage() && incompleteSince <= oldest) {
      counters.increment(Counter.CLIENTS_TIMED_OUT);
      protocol.closeWithError(ClientErrors.MESSAGE_TIMED_OUT);
    }
  }

  // ---- admission

  private void updateAdmissionState() {
    shared.admission().setState(admitted, admissionState(), clock.now());
  }

  private ConnectionState admissionState() {
    if (!protocol.isIdle()) {
      return ConnectionState.BUSY;
    }
    if (!answered) {
      return ConnectionState.NEW;
    }
    return retryAfterSent ? ConnectionState.AWAITING_RETRY : ConnectionState.IDLE;
  }

  /** Closes the connection to make room for another. */
  void evict() {
    counters.increment(Counter.CLIENTS_EVICTED);
    if (!answered) {
      counters.increment(Counter.CLIENTS_EVICTED_UNANSWERED);
    }
    close();
  }

  // ---- requests

  @Override
  public boolean isReady() {
    return shared.dispatcher().hasEndpoints();
  }

  @Override
  public void submit(ByteBuf text) throws ProtocolException {
    SqlStatement statement = SqlStatementParser.parse(text, shared.requestClasses());
    try {
      checkAcceptable(statement);
    } catch (ProtocolException rejection) {
      statement.release();
      throw rejection;
    }
    rejections.reset();
    shared.admission().recordRequest(lastRequestId != null);
    lastRequestId = statement.id();
    lastRequestBytes = text.readableBytes();
    retryAfterSent = false;
    shared.dispatcher().requestReceived(statement, protocol);
  }

  private void checkAcceptable(SqlStatement statement) throws ProtocolException {
    if (!shared.statementMemory().hasRoomFor(statement.text().readableBytes())) {
      throw ProtocolException.rejected(
          SqlState.TOO_MANY_CONNECTIONS, "memory is short: trying again is harmless");
    }
    if (shared.dispatcher().isRequestIdInUse(statement.id())) {
      throw ProtocolException.rejected(SqlState.INVALID_PARAMETER_VALUE, "the id is not new");
    }
    if (!shared.dispatcher().hasGroup(statement.group())) {
      throw ProtocolException.rejected(SqlState.INVALID_PARAMETER_VALUE, "the cluster is unknown");
    }
  }

  @Override
  public int writeCounters(ByteBuf out) {
    int[] rows = new int[1];
    counters.forEach(
        (name, value) -> {
          MessageWriter.writeDataRow(out, name, Long.toString(value));
          rows[0]++;
        });
    return rows[0];
  }

  /** Slows the client down, unless it was rejected for the router's own state. */
  @Override
  public void statementRejected(ProtocolException rejection) {
    counters.increment(Counter.STATEMENTS_REJECTED);
    String sqlState = rejection.sqlState();
    boolean isCausedByRouter =
        sqlState.equals(SqlState.TOO_MANY_CONNECTIONS)
            || sqlState.equals(SqlState.CANNOT_CONNECT_NOW);
    if (!isCausedByRouter) {
      rejections.recordRejection(this::resumeLater);
    }
  }

  @Override
  public long cancelKey() {
    return cancelKey;
  }

  @Override
  public void cancelRequest(long otherKey) {
    shared.registry().findByCancelKey(otherKey).ifPresent(FrontendConnection::cancelPendingRequest);
  }

  private void cancelPendingRequest() {
    if (protocol.hasPendingRequest()) {
      shared.dispatcher().clientDisconnected(lastRequestId);
      protocol.answerCancelled();
    }
  }

  @Override
  public void clientTerminated() {
    shared.dispatcher().clientDisconnected(lastRequestId);
  }

  // ---- output

  @Override
  public void write(ByteBuf out) {
    lastActivity = clock.now();
    answered |= startedUp; // the startup response itself does not count as an answer
    startedUp |= !protocol.isStartingUp();
    if (!protocol.isStartingUp()) {
      incompleteSince = lastActivity;
    }
    channel.writeAndFlush(out);
    updateStatementMemory();
    updateAdmissionState();
    if (pipelinedTooMuch) {
      resumeLater();
    }
  }

  @Override
  public void retryAfterAnnounced() {
    retryAfterSent = true;
  }

  // ---- end

  /** Closes the connection as soon as it has no request. */
  void drain() {
    protocol.drain();
  }

  /** Sends a fatal error, and closes the connection. */
  void closeWithError(ErrorResponse error) {
    protocol.closeWithError(error);
  }

  /**
   * Ends the connection from the router's side. From now on it has no place in connection
   * admission, and nothing that the client sends is taken for a statement.
   */
  @Override
  public void close() {
    if (!isLingering()) {
      unregister();
      shared.lingeringConnections().add(this);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    unregister();
  }

  private void unregister() {
    if (shared.registry().remove(this, admitted)) {
      counters.increment(Counter.CLIENTS_CLOSED);
      updateStatementMemory();
      protocol.connectionClosed();
      if (lastRequestId != null) {
        shared.dispatcher().clientDisconnected(lastRequestId);
      }
    }
  }
}
