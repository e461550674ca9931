package rushwood.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import rushwood.dispatch.Counter;
import rushwood.dispatch.Counters;
import rushwood.dispatch.EventLoopClock;
import rushwood.protocol.ClientErrors;
import rushwood.protocol.ClientMemory;
import rushwood.protocol.ErrorResponse;
import rushwood.protocol.FrontendCallbacks;
import rushwood.protocol.FrontendProtocol;
import rushwood.protocol.MessageWriter;
import rushwood.protocol.OutputMemory;
import rushwood.protocol.ProtocolException;
import rushwood.protocol.SqlStatement;

/**
 * A client connection: the channel handler that passes input to a {@link FrontendProtocol} and
 * writes its output. Input is read even while it cannot be processed, because a disconnect is only
 * noticed once all input before it has been read; the {@link ClientMemory} limits how much of it is
 * held. A {@link ClientTimeout} limits how long the client may take. Statements are submitted
 * through a {@link RequestSubmitter}, and an {@link AdmissionReporter} reports the state of the
 * connection. Created and used only on the event loop of its channel.
 */
final class FrontendConnection extends LingeringClose implements FrontendCallbacks {
  private final FrontendContext context;
  private final EventLoopClock clock;
  private final Counters counters;
  private final RequestSubmitter submitter;
  private final OutputMemory outputMemory;
  private final ClientTimeout timeout;
  private final FrontendProtocol protocol;
  private final ClientReads reads;
  private final long cancelKey;
  private final AdmissionReporter admissionReporter;
  private final long acceptTurnNumber;
  private final long earliestArrivalAtAccept;
  private boolean resumeScheduled;
  private int queuedRequestsRejected; // while input is being processed

  /** The earliest time at which input that waits to be processed may have been sent. */
  private long earliestArrival;

  /**
   * Creates the handler and registers the connection.
   *
   * @param submitter used by this connection only
   */
  FrontendConnection(Channel channel, FrontendContext context, RequestSubmitter submitter) {
    super(channel);
    this.context = context;
    this.submitter = submitter;
    clock = context.clock();
    counters = context.counters();
    outputMemory = context.memory().output();
    cancelKey = context.registry().nextCancelKey();
    acceptTurnNumber = clock.turnNumber();
    earliestArrivalAtAccept = clock.earliestArrival();
    timeout = new ClientTimeout(clock.now());
    protocol = new FrontendProtocol(context.memory(), this);
    reads = new ClientReads(clock, context.readBudget(), protocol::hasPendingRequest);
    channel.config().setRecvByteBufAllocator(reads);
    admissionReporter = context.registry().add(this, clock.now());
  }

  @Override
  public void channelRead(ChannelHandlerContext handlerContext, Object message) {
    ByteBuf in = (ByteBuf) message;
    if (isLingering()) {
      discard(in);
      return;
    }
    timeout.bytesRead(clock.now(), protocol.hasIncompleteMessage());
    protocol.buffer(in, clock.now());
    reportState();
    resumeLater();
  }

  /** Returns whether the client is slowed down or has to read its answers first. */
  private boolean isProcessingPaused() {
    boolean isSlowedDown = submitter.isPaused() && !protocol.isRejectingRequests();
    return isSlowedDown || !channel.isWritable();
  }

  /**
   * Schedules a task that processes the buffered input. In each turn the event loop reads its
   * sockets before it runs tasks, so a disconnect that arrived right behind the input is noticed
   * first. The input is then not processed, because no client waits for an answer.
   */
  @Override
  public void resumeLater() {
    if (!resumeScheduled) {
      resumeScheduled = true;
      earliestArrival = earliestArrivalOfCurrentInput();
      context.processing().add(channel.eventLoop(), this::resume);
    }
  }

  private void resume() {
    if (reads.isCutShort()) {
      TurnTaskQueue.runInNextTurn(channel.eventLoop(), this::resumeAfterReading);
      return;
    }
    resumeScheduled = false;
    if (!counters.runSafely(this::processInput)) {
      channel.close(); // otherwise its buffers would be held until the client sends more
    }
  }

  /** Called in a turn in which the rest of the input is read. */
  private void resumeAfterReading() {
    context.processing().add(channel.eventLoop(), this::resume);
  }

  private void processInput() {
    if (isLingering() || !channel.isOpen() || isProcessingPaused()) {
      return;
    }
    if (submitter.hasTooManyRejections()) {
      protocol.closeWithError(ClientErrors.TOO_MANY_REJECTIONS);
      return;
    }
    long startedAt = clock.turnNanos();
    queuedRequestsRejected = 0;
    protocol.resume();
    if (queuedRequestsRejected > 0) {
      context.rejectionTime().record(queuedRequestsRejected, clock.turnNanos() - startedAt);
    }
    reportState();
  }

  private void reportState() {
    admissionReporter.report(protocol.isIdle(), clock.now());
  }

  /**
   * Resumes processing when the client has read its answers. While the channel is not writable, no
   * further statement is processed because unread answers would fill the memory.
   */
  @Override
  public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
    resumeLater();
  }

  /** Closes the connection if the client takes too long to read or to complete a message. */
  void checkTimeouts() {
    switch (timeout.check(clock.now(), channel.isWritable(), protocol.hasIncompleteMessage())) {
      case UNREAD_ANSWER -> closeUnread();
      case INCOMPLETE_MESSAGE -> {
        counters.increment(Counter.CLIENTS_TIMED_OUT);
        protocol.closeWithError(ClientErrors.MESSAGE_TIMED_OUT);
      }
      case NONE -> {}
    }
  }

  /** Closes the connection if the client has stopped reading its answers. */
  void closeIfReadingStalled() {
    if (timeout.hasReadingStalled(clock.now(), channel.isWritable())) {
      closeUnread();
    }
  }

  private void closeUnread() {
    counters.increment(Counter.CLIENTS_NOT_READING);
    channel.close();
  }

  @Override
  public boolean isReady() {
    return submitter.isReady();
  }

  @Override
  public void submit(ByteBuf text) throws ProtocolException {
    if (outputMemory.isExhausted()) {
      throw ProtocolException.memoryShort();
    }
    long startedAt = clock.turnNanos();
    SqlStatement statement = submitter.parseAndValidate(text);
    admissionReporter.requestSubmitted();
    submitter.submit(statement, earliestArrival, protocol);
    context.rejectionTime().record(1, clock.turnNanos() - startedAt);
  }

  /**
   * Returns the earliest time at which input that can be processed from this turn on may have been
   * sent. A statement that arrived together with its connection is read one turn after the accept,
   * so the time determined at the accept applies to it.
   */
  private long earliestArrivalOfCurrentInput() {
    boolean isNew = clock.turnNumber() - acceptTurnNumber <= 1;
    return isNew ? earliestArrivalAtAccept : clock.earliestArrival();
  }

  @Override
  public int writeCounters(ByteBuf out) {
    int[] rowCount = new int[1];
    counters.forEach(
        (name, value) -> {
          MessageWriter.writeDataRow(out, name, Long.toString(value));
          rowCount[0]++;
        });
    return rowCount[0];
  }

  @Override
  public void statementRejected(ProtocolException rejection) {
    counters.increment(Counter.STATEMENTS_REJECTED);
    submitter.statementRejected(rejection, this::resumeLater);
  }

  @Override
  public void requestRejected() {
    counters.increment(Counter.QUEUED_REQUESTS_REJECTED);
    queuedRequestsRejected++;
  }

  @Override
  public long cancelKey() {
    return cancelKey;
  }

  @Override
  public void cancelRequest(long targetCancelKey) {
    context
        .registry()
        .findByCancelKey(targetCancelKey)
        .ifPresent(FrontendConnection::cancelPendingRequest);
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
    admissionReporter.bytesWritten(protocol.isStartingUp());
    channel.writeAndFlush(out);
    reportState();
  }

  @Override
  public void retryAfterAnnounced() {
    admissionReporter.retryAfterAnnounced();
  }

  /** Closes the connection to make room for others. */
  void evict() {
    counters.increment(Counter.CLIENTS_EVICTED);
    if (!admissionReporter.hasSentAnswer()) {
      counters.increment(Counter.CLIENTS_EVICTED_UNANSWERED);
    }
    close();
  }

  /** Closes the connection as soon as it is idle. */
  void drain() {
    protocol.drain();
  }

  /** Rejects each request that is not submitted yet, also those that arrive later. */
  void rejectRequests() {
    if (!protocol.isRejectingRequests()) {
      protocol.rejectRequests();
      resumeLater();
    }
  }

  /**
   * Returns the number of requests that arrived completely and were not submitted yet. A request
   * that is pending does not count.
   */
  int queuedRequests() {
    return protocol.queuedRequests();
  }

  boolean hasPendingRequest() {
    return protocol.hasPendingRequest();
  }

  /** Sends a fatal error and closes the connection. */
  void closeWithError(ErrorResponse error) {
    protocol.closeWithError(error);
  }

  /**
   * Closes the connection once everything is written. From now on it does not count in connection
   * admission, and its input is dropped.
   */
  @Override
  public void close() {
    if (!isLingering()) {
      unregister();
      context.lingeringConnections().add(this);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    unregister();
  }

  private void unregister() {
    if (context.registry().remove(this, admissionReporter.admittedConnection())) {
      counters.increment(Counter.CLIENTS_CLOSED);
      protocol.connectionClosed();
      submitter.clientDisconnected();
    }
  }
}
