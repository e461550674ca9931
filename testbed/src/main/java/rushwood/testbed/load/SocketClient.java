package rushwood.testbed.load;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import rushwood.testbed.standin.ErrorCodes;
import rushwood.testbed.standin.Loopback;
import rushwood.testbed.standin.MessageEncoder;
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
  private static final int QUERY_BUFFER_BYTES = 256;
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
  private @Nullable Channel channel;
  private boolean connected; // the startup message was sent, and no close of the channel is known
  private boolean querySent;
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
    if (connected && channel != null) {
      sendQuery(channel);
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
    querySent = false;
    channel =
        Loopback.connect(context.loop(), context.router(), new ResponseHandler())
            .addListener(
                connecting -> {
                  if (!connecting.isSuccess() && !tryEnded) {
                    endTry(TryOutcome.NOT_SENT);
                  }
                })
            .channel();
  }

  private void sendQuery(Channel target) {
    querySent = true;
    ByteBuf out = target.alloc().buffer(QUERY_BUFFER_BYTES);
    if (!connected) {
      MessageEncoder.writeStartup(out);
      connected = true;
    }
    String id = number + "-" + triesMade + (resends > 0 ? "-" + resends : "");
    long deadlineMillis = Math.max(1, (tryDeadline - context.now()) / NANOS_PER_MILLI);
    MessageEncoder.writeQuery(
        out, Statement.format(spec.requestClass(), key(), id, deadlineMillis, spec.group()));
    target.writeAndFlush(out);
  }

  private String key() {
    return KEY_PREFIX + number;
  }

  /** The number of the client whose requests have that key. */
  static int numberFromKey(String key) {
    return Integer.parseInt(key.substring(KEY_PREFIX.length()));
  }

  private void disconnect() {
    connected = false;
    if (channel != null) {
      channel.close();
    }
  }

  private void endWithoutAnswer() {
    endTry(querySent ? TryOutcome.NO_ANSWER : TryOutcome.NOT_SENT);
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

  /** What comes on one connection; ignored once the client has opened another one. */
  private final class ResponseHandler extends SimpleChannelInboundHandler<ProtocolMessage> {
    private boolean isCurrent(ChannelHandlerContext handlerContext) {
      return handlerContext.channel() == channel;
    }

    @Override
    public void channelActive(ChannelHandlerContext handlerContext) {
      if (!tryEnded && isCurrent(handlerContext)) {
        sendQuery(handlerContext.channel());
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext handlerContext, ProtocolMessage message) {
      boolean isAnswer =
          message.type() == ProtocolMessage.DATA_ROW
              || message.type() == ProtocolMessage.ERROR_RESPONSE;
      if (!isCurrent(handlerContext) || !isAnswer) {
        return;
      }
      if (tryEnded) {
        counts.surplusAnswer();
      } else if (message.type() == ProtocolMessage.DATA_ROW) {
        handleRow(message);
      } else {
        handleError(message);
      }
    }

    private void handleRow(ProtocolMessage row) {
      if (!row.text().endsWith(key())) {
        counts.surplusAnswer();
      }
      endTry(TryOutcome.SUCCESS);
    }

    private void handleError(ProtocolMessage error) {
      String sqlState = error.errorField(ProtocolMessage.SQL_STATE_FIELD).orElse("");
      long retryAfterMillis =
          error.errorField(ProtocolMessage.DETAIL_FIELD).map(Long::parseLong).orElse(0L);
      if (error.errorField(ProtocolMessage.SEVERITY_FIELD).orElse("").equals("FATAL")) {
        connected = false;
      }
      TryOutcome outcome =
          ErrorCodes.isRejection(sqlState) ? TryOutcome.REJECTED : TryOutcome.FAILED;
      endTry(outcome, retryAfterMillis * NANOS_PER_MILLI);
    }

    @Override
    public void channelInactive(ChannelHandlerContext handlerContext) {
      if (!isCurrent(handlerContext)) {
        return;
      }
      if (toldToComeBack && tryEnded && connected && !finished) {
        counts.closedDespiteRetryAfter();
      }
      connected = false;
      if (!tryEnded) {
        resendOrEnd();
      }
    }

    /** A read that crossed with the router's close is sent once more; a write may have run. */
    private void resendOrEnd() {
      if (querySent && resends < MAX_RESENDS && !spec.isWrite()) {
        resends++;
        connect();
      } else {
        endWithoutAnswer();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
      handlerContext.close();
    }
  }
}
