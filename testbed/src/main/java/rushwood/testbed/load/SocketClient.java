package rushwood.testbed.load;

import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import rushwood.testbed.standin.ErrorCodes;
import rushwood.testbed.standin.ProtocolMessage;
import rushwood.testbed.standin.Statement;

/**
 * A client on a socket: one request, in as many tries as it takes, with a retry behavior. It lives
 * on the event loop of its {@link LoadContext}.
 *
 * <p>A write whose try failed or had no answer may have run, so it is not tried again and counts as
 * of unknown outcome.
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
  private long tryDeadline; // includes the time for connecting, which is not the router's to spend
  private int triesMade;
  private int resends;
  private long retryAfter; // of the last try, 0 for none
  private @Nullable ClientConnection
      connection; // the last that was opened; events of others are ignored
  private boolean tryEnded;
  private boolean toldToComeBack; // on this connection, as the last try was rejected
  private boolean finished;

  /** {@code random} is shared by the clients of a population. */
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

  /** The client arrives. */
  void start() {
    startedAt = context.now();
    startTry();
  }

  private void startTry() {
    triesMade++;
    tryEnded = false;
    toldToComeBack = false;
    context.addToSeries(ReportNames.TRIES_SERIES);
    if (triesMade > 1) {
      context.addToSeries(ReportNames.CLIENT_RETRIES_SERIES);
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
    connection = new ClientConnection(context.loop(), context.router(), new ConnectionListener());
  }

  private void sendQuery(ClientConnection target) {
    String id = number + "-" + triesMade + (resends > 0 ? "-" + resends : "");
    long deadlineMillis = Math.max(1, (tryDeadline - context.now()) / NANOS_PER_MILLI);
    target.send(Statement.format(spec.requestClass(), key(), id, deadlineMillis, spec.group()));
  }

  private String key() {
    return KEY_PREFIX + number;
  }

  /** The number of the client whose requests have that key. */
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
    retryAfter = retryAfterNanos;
    boolean answered = outcome != TryOutcome.NOT_SENT && outcome != TryOutcome.NO_ANSWER;
    if (spec.isWrite() && answered) {
      context.ledger().recordAnswer(number, outcome == TryOutcome.SUCCESS);
    }
    switch (outcome) {
      case SUCCESS -> succeed();
      case REJECTED -> {
        toldToComeBack = retryAfter > 0;
        counts.tryRejected(toldToComeBack);
        context.addToSeries(ReportNames.REJECTED_SERIES);
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
    context.addToSeries(ReportNames.GOODPUT_SERIES);
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
    if (!spec.keepsConnection() && !toldToComeBack) {
      disconnect();
    }
    long delay = spec.retryBehavior().retryDelay(triesMade, retryAfter, random);
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

  /** Takes what comes on the present connection; what comes on an earlier one is ignored. */
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
        counts.surplusAnswer();
      } else if (answer.type() == ProtocolMessage.DATA_ROW) {
        handleRow(answer);
      } else {
        handleError(source, answer);
      }
    }

    private void handleRow(ProtocolMessage row) {
      if (!row.body().endsWith(key())) {
        counts.surplusAnswer();
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
      if (toldToComeBack && tryEnded && wasUsable && !finished) {
        counts.closedDespiteRetryAfter();
      }
      if (!tryEnded) {
        resendOrEnd();
      }
    }

    /** A read that crossed with the router's close is sent once more; a write may have run. */
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
