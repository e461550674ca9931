package rushwood.testbed.load;

import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import rushwood.testbed.standin.ErrorCodes;
import rushwood.testbed.standin.ProtocolMessage;
import rushwood.testbed.standin.Statement;

/**
 * A client of an experiment on sockets. It makes one request, in as many tries as its {@link
 * PopulationSpec} allows, and is used on the event loop of its {@link LoadContext} only.
 *
 * <p>A write whose try failed or was not answered may have run. It is not retried, not even if it
 * has an idempotency key, and counts as one of unknown outcome.
 */
final class SocketClient {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int MAX_RESENDS = 1;
  private static final String KEY_PREFIX = "k";

  /** How a try ended. */
  private enum TryOutcome {
    SUCCESS,
    REJECTED,
    FAILED,
    NOT_SENT,
    NO_ANSWER
  }

  private final int number;
  private final PopulationSpec spec;
  private final LoadContext context;
  private final PopulationCounts counts;
  private final SplittableRandom random;
  private long startedAt;
  private long tryDeadline; // covers connecting too; the query tells the router the time left
  private int triesMade;
  private int resends;
  private long retryAfterNanos; // of the last try; 0 if it had none
  private @Nullable ClientConnection connection; // the latest one
  private boolean tryEnded;
  private boolean retryAfterReceived; // whether the last try was rejected with a Retry-After
  private boolean finished;

  /** Creates the client; the clients of a population share {@code random}. */
  SocketClient(
      int number,
      PopulationSpec spec,
      LoadContext context,
      PopulationCounts counts,
      SplittableRandom random) {
    this.number = number;
    this.spec = spec;
    this.context = context;
    this.counts = counts;
    this.random = random;
  }

  /** Makes the client arrive and start its first try. */
  void start() {
    startedAt = context.now();
    startTry();
  }

  private void startTry() {
    triesMade++;
    tryEnded = false;
    retryAfterReceived = false;
    context.incrementSeries(ReportNames.TRIES_SERIES);
    if (triesMade > 1) {
      context.incrementSeries(ReportNames.CLIENT_RETRIES_SERIES);
    }
    int thisTry = triesMade;
    tryDeadline = context.now() + spec.tryTimeoutNanos();
    context.scheduleAfter(spec.tryTimeoutNanos(), () -> onTimeout(thisTry));
    if (connection != null && connection.isUsable()) {
      sendQuery(connection);
    } else {
      connect();
    }
  }

  private void onTimeout(int expiredTry) {
    if (triesMade == expiredTry && !tryEnded) {
      endWithoutAnswer();
      disconnect();
    }
  }

  private void connect() {
    counts.connectStarted();
    connection =
        new ClientConnection(context.loop(), context.routerAddress(), new ConnectionListener());
  }

  private void sendQuery(ClientConnection target) {
    String id = number + "-" + triesMade + (resends > 0 ? "-" + resends : "");
    long timeoutMillis = Math.max(1, (tryDeadline - context.now()) / NANOS_PER_MILLI);
    target.send(Statement.format(spec.requestClass(), key(), id, timeoutMillis, spec.group()));
  }

  private String key() {
    return KEY_PREFIX + number;
  }

  /** Returns the number of the client whose requests have the given key. */
  static int numberFromKey(String key) {
    return Integer.parseInt(key.substring(KEY_PREFIX.length()));
  }

  private void disconnect() {
    if (connection != null) {
      connection.close();
    }
  }

  private boolean hasSentQuery() {
    return connection != null && connection.hasSentQuery();
  }

  private void endWithoutAnswer() {
    endTry(hasSentQuery() ? TryOutcome.NO_ANSWER : TryOutcome.NOT_SENT);
  }

  private void endTry(TryOutcome outcome) {
    endTry(outcome, 0);
  }

  private void endTry(TryOutcome outcome, long retryAfterNanos) {
    tryEnded = true;
    this.retryAfterNanos = retryAfterNanos;
    boolean answered = outcome != TryOutcome.NOT_SENT && outcome != TryOutcome.NO_ANSWER;
    if (spec.isWrite() && answered) {
      context.ledger().recordAnswer(number, outcome == TryOutcome.SUCCESS);
    }
    switch (outcome) {
      case SUCCESS -> succeed();
      case REJECTED -> {
        retryAfterReceived = retryAfterNanos > 0;
        counts.tryRejected(retryAfterReceived);
        context.incrementSeries(ReportNames.REJECTED_SERIES);
        retryOrFinish();
      }
      case NOT_SENT -> retryOrFinish();
      case FAILED -> retryUnlessWrite();
      case NO_ANSWER -> {
        counts.tryUnanswered();
        retryUnlessWrite();
      }
    }
  }

  private void succeed() {
    counts.clientSucceeded();
    context.incrementSeries(ReportNames.GOODPUT_SERIES);
    context.result().recordCompletion(context.now() - startedAt);
    finish();
  }

  private void retryUnlessWrite() {
    if (spec.isWrite()) {
      counts.clientOutcomeUnknown();
      finish();
    } else {
      retryOrFinish();
    }
  }

  private void retryOrFinish() {
    if (triesMade >= spec.maxTries()) {
      counts.clientTriesExhausted();
      finish();
      return;
    }
    if (!spec.keepsConnection() && !retryAfterReceived) {
      disconnect();
    }
    long delay = spec.retryBehavior().retryDelay(triesMade, retryAfterNanos, random);
    context.scheduleAfter(delay, this::startTry);
  }

  private void finish() {
    if (finished) {
      return;
    }
    finished = true;
    counts.clientFinished();
    if (!spec.keepsConnection()) {
      disconnect();
    }
  }

  /** Handles connection events; those of earlier connections are ignored, except failed opens. */
  private final class ConnectionListener implements ClientConnection.Listener {
    @Override
    public void connectionOpened(ClientConnection opened) {
      if (!tryEnded && opened == connection) {
        sendQuery(opened);
      }
    }

    @Override
    public void connectionFailed() {
      if (!tryEnded) {
        endTry(TryOutcome.NOT_SENT);
      }
    }

    @Override
    public void answerReceived(ClientConnection source, ProtocolMessage answer) {
      if (source != connection) {
        return;
      }
      if (tryEnded) {
        counts.surplusAnswerReceived();
      } else if (answer.type() == ProtocolMessage.DATA_ROW) {
        handleRow(answer);
      } else {
        handleError(source, answer);
      }
    }

    private void handleRow(ProtocolMessage row) {
      if (!row.body().endsWith(key())) {
        counts.surplusAnswerReceived();
      }
      endTry(TryOutcome.SUCCESS);
    }

    private void handleError(ClientConnection source, ProtocolMessage error) {
      String sqlState = error.errorField(ProtocolMessage.SQL_STATE_FIELD).orElse("");
      long retryAfterMillis =
          error.errorField(ProtocolMessage.DETAIL_FIELD).map(Long::parseLong).orElse(0L);
      if (error.errorField(ProtocolMessage.SEVERITY_FIELD).orElse("").equals("FATAL")) {
        source.markUnusable();
      }
      TryOutcome outcome =
          ErrorCodes.isRejection(sqlState) ? TryOutcome.REJECTED : TryOutcome.FAILED;
      endTry(outcome, retryAfterMillis * NANOS_PER_MILLI);
    }

    @Override
    public void connectionClosed(ClientConnection closed, boolean wasUsable) {
      if (closed != connection) {
        return;
      }
      if (retryAfterReceived && tryEnded && wasUsable && !finished) {
        counts.connectionClosedDespiteRetryAfter();
      }
      if (!tryEnded) {
        resendOrEnd();
      }
    }

    /**
     * Resends a read, once per client, because the router may have closed the connection before it
     * received the query. A write is not resent, because it may have run.
     */
    private void resendOrEnd() {
      if (hasSentQuery() && resends < MAX_RESENDS && !spec.isWrite()) {
        resends++;
        connect();
      } else {
        endWithoutAnswer();
      }
    }
  }
}
