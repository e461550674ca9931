package rushwood.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import rushwood.dispatch.Counter;
import rushwood.dispatch.Counters;
import rushwood.dispatch.EventLoopClock;
import rushwood.protocol.ClientErrors;
import rushwood.protocol.ErrorResponse;
import rushwood.protocol.FrontendCallbacks;
import rushwood.protocol.FrontendProtocol;
import rushwood.protocol.MessageWriter;
import rushwood.protocol.ProtocolException;
import rushwood.protocol.SqlStatement;

/**
 * The connection of a client: the channel handler that reads and writes for a {@link
 * FrontendProtocol}. An {@link InputLimit} and a {@link ClientTimeout} limit what the client may
 * send and how long it may take, its statements go through a {@link RequestSubmitter}, and an
 * {@link AdmissionReporter} reports what the connection does. Created on the event loop of its
 * channel and used on no other thread.
 */
final class FrontendConnection extends LingeringClose implements FrontendCallbacks {

  private final EventLoopClock clock;
  private final Counters counters;
  private final ConnectionRegistry registry;
  private final LingeringConnections lingeringConnections;
  private final RequestSubmitter submitter;
  private final InputLimit inputLimit;
  private final ClientTimeout timeout;
  private final FrontendProtocol protocol;
  private final long cancelKey;
  private final AdmissionReporter admissionReporter;
  private final long acceptedInTurn;
  private final long earliestArrivalAtAccept;
  private boolean resumeScheduled;

  /** With parts of its own ({@code submitter}, {@code inputLimit}), and those shared by all. */
  FrontendConnection(
      Channel channel,
      EventLoopClock clock,
      Counters counters,
      ConnectionRegistry registry,
      LingeringConnections lingeringConnections,
      RequestSubmitter submitter,
      InputLimit inputLimit) {
    super(channel);
    this.clock = clock;
    this.counters = counters;
    this.registry = registry;
    this.lingeringConnections = lingeringConnections;
    this.submitter = submitter;
    this.inputLimit = inputLimit;
    cancelKey = registry.nextCancelKey();
    acceptedInTurn = clock.turnNumber();
    earliestArrivalAtAccept = clock.earliestArrival();
    timeout = new ClientTimeout(clock.now());
    protocol = new FrontendProtocol(channel.alloc(), this);
    admissionReporter = registry.add(this, clock.now());
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf in = (ByteBuf) message;
    if (isLingering()) {
      discard(in);
      return;
    }
    timeout.bytesRead(clock.now(), protocol.hasIncompleteMessage());
    boolean mustWait = protocol.hasPendingRequest() || isProcessingPaused();
    inputLimit.inputReceived(protocol.unreadBytes() + in.readableBytes(), mustWait);
    if (inputLimit.isExceeded()) {
      in.release();
      return;
    }
    protocol.buffer(in);
    updateHeldBytes();
    reportState();
    resumeLater();
  }

  /** Whether the client is slowed down, or has to read its answers first. */
  private boolean isProcessingPaused() {
    return submitter.isPaused() || !channel.isWritable();
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
    if (submitter.hasTooManyRejections()) {
      protocol.closeWithError(ClientErrors.TOO_MANY_REJECTIONS);
      return;
    }
    protocol.resume();
    updateHeldBytes();
    enforceInputLimit();
    reportState();
  }

  private void enforceInputLimit() {
    ErrorResponse violation = isLingering() ? null : inputLimit.violation(protocol);
    if (violation != null) {
      counters.increment(Counter.CLIENTS_REFUSED);
      protocol.closeWithError(violation);
    }
  }

  /** Counts what is held for this client: unread input, and the pending request. */
  private void updateHeldBytes() {
    inputLimit.setHeldBytes(isOpen() ? protocol.unreadBytes() + pendingRequestBytes() : 0);
  }

  private boolean isOpen() {
    return !isLingering() && registry.contains(this);
  }

  private int pendingRequestBytes() {
    return protocol.hasPendingRequest() ? submitter.lastRequestBytes() : 0;
  }

  private void reportState() {
    admissionReporter.report(protocol.isIdle(), clock.now());
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
    switch (timeout.check(clock.now(), channel.isWritable(), protocol.hasIncompleteMessage())) {
      case UNREAD_ANSWER -> channel.close();
      case INCOMPLETE_MESSAGE -> {
        counters.increment(Counter.CLIENTS_TIMED_OUT);
        protocol.closeWithError(ClientErrors.MESSAGE_TIMED_OUT);
      }
      case NONE -> {}
    }
  }

  @Override
  public boolean isReady() {
    return submitter.isReady();
  }

  @Override
  public void submit(ByteBuf text) throws ProtocolException {
    SqlStatement statement = submitter.accept(text);
    admissionReporter.requestSubmitted();
    submitter.submit(statement, text.readableBytes(), earliestArrival(), protocol);
  }

  /**
   * When a statement that is processed now may have been sent at the earliest. What comes with a
   * new connection is read a turn after the connection was accepted.
   */
  private long earliestArrival() {
    boolean isNew = clock.turnNumber() - acceptedInTurn <= 1;
    return isNew ? earliestArrivalAtAccept : clock.earliestArrival();
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

  @Override
  public void statementRejected(ProtocolException rejection) {
    counters.increment(Counter.STATEMENTS_REJECTED);
    submitter.statementRejected(rejection, this::resumeLater);
  }

  @Override
  public long cancelKey() {
    return cancelKey;
  }

  @Override
  public void cancelRequest(long otherKey) {
    registry.findByCancelKey(otherKey).ifPresent(FrontendConnection::cancelPendingRequest);
  }

  private void cancelPendingRequest() {
    if (protocol.hasPendingRequest()) {
      submitter.clientDisconnected();
      protocol.sendCancelled();
    }
  }

  @Override
  public void clientTerminated() {
    submitter.clientDisconnected();
  }

  @Override
  public void write(ByteBuf out) {
    timeout.bytesWritten(clock.now(), protocol.isStartingUp());
    admissionReporter.written(protocol.isStartingUp());
    channel.writeAndFlush(out);
    updateHeldBytes();
    reportState();
    if (inputLimit.isExceeded()) {
      resumeLater();
    }
  }

  @Override
  public void retryAfterAnnounced() {
    admissionReporter.retryAfterAnnounced();
  }

  /** Closes the connection to make room for another. */
  void evict() {
    counters.increment(Counter.CLIENTS_EVICTED);
    if (!admissionReporter.isAnswered()) {
      counters.increment(Counter.CLIENTS_EVICTED_UNANSWERED);
    }
    close();
  }

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
      lingeringConnections.add(this);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    unregister();
  }

  private void unregister() {
    if (registry.remove(this, admissionReporter.admitted())) {
      counters.increment(Counter.CLIENTS_CLOSED);
      updateHeldBytes();
      protocol.connectionClosed();
      submitter.clientDisconnected();
    }
  }
}
