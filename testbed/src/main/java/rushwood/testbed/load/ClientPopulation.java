package rushwood.testbed.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import rushwood.testbed.model.WriteLedger;
import rushwood.testbed.standin.MessageCodec;
import rushwood.testbed.standin.Statement;

/**
 * Clients of one kind on sockets: one access each, several tries, back as their manners are. On one
 * event loop.
 */
final class ClientPopulation {
  private final Experiment.PopulationSpec spec;
  private final EventLoop loop;
  private final LongSupplier clock;
  private final InetSocketAddress router;
  private final SplittableRandom random;
  private final ExperimentResult result;
  private final WriteLedger ledger;
  private final long startNanos;
  private final int firstClientNumber;
  private int unfinished;
  private int succeeded;
  private int outcomeUnknown;
  private int triesExhausted;
  private int rejected;
  private int rejectedWithRetryAfter;
  private int closedDespiteRetryAfter;
  private int unanswered;
  private int surplusAnswers;
  private int connects;

  /** {@code first} numbers the first client: numbers are never used twice in a run. */
  ClientPopulation(
      Experiment.PopulationSpec spec,
      int firstClientNumber,
      EventLoop loop,
      LongSupplier clock,
      long startNanos,
      InetSocketAddress router,
      long seed,
      ExperimentResult result,
      WriteLedger ledger) {
    this.spec = spec;
    this.firstClientNumber = firstClientNumber;
    this.loop = loop;
    this.clock = clock;
    this.startNanos = startNanos;
    this.router = router;
    this.result = result;
    this.ledger = ledger;
    random = new SplittableRandom(seed);
    unfinished = spec.count();
  }

  /** All come, evenly over their time. */
  void scheduleArrivals() {
    for (int i = 0; i < spec.count(); i++) {
      long at = Experiment.nanos(spec.from() + spec.over() * i / spec.count());
      loop.schedule(
          new Client(firstClientNumber + i)::start,
          startNanos + at - clock.getAsLong(),
          TimeUnit.NANOSECONDS);
    }
  }

  int unfinished() {
    return unfinished;
  }

  void reportFigures(String name) {
    result.recordFigure(name + ".clients", spec.count());
    result.recordFigure(name + ".fulfilled", succeeded);
    result.recordFigure(name + ".share_fulfilled", (double) succeeded / spec.count());
    result.recordFigure(name + ".in_doubt", outcomeUnknown);
    result.recordFigure(name + ".out_of_tries", triesExhausted);
    result.recordFigure(name + ".unfinished", unfinished);
    result.recordFigure(name + ".turned_back", rejected);
    result.recordFigure(name + ".turned_back_with_wait", rejectedWithRetryAfter);
    result.recordFigure(name + ".connects", connects);
    result.recordFigure(name + ".closed_though_told_to_return", closedDespiteRetryAfter);
    result.recordFigure(name + ".tries_without_answer", unanswered);
    result.recordFigure(name + ".answers_too_many", surplusAnswers);
  }

  /** What a try came to. */
  private enum TryOutcome {
    SUCCESS,
    REJECTED,
    FAILED,
    NOT_SENT,
    NO_ANSWER
  }

  private final class Client {
    private final int number;
    private long startedAt;
    private long
        tryDeadline; // the end of this try; what connecting took of it is not the router's to spend
    private int triesMade;
    private int resends;
    private long retryAfter;
    private Channel channel;
    private boolean connected;
    private boolean querySent;
    private boolean tryEnded;
    private boolean hasRetryAfter;
    private boolean finished;

    Client(int number) {
      this.number = number;
    }

    private void start() {
      startedAt = clock.getAsLong();
      startTry();
    }

    private void startTry() {
      triesMade++;
      tryEnded = false;
      hasRetryAfter = false;
      result.addToSeries("tries", clock.getAsLong() - startNanos, 1);
      if (triesMade > 1) {
        result.addToSeries("repeats", clock.getAsLong() - startNanos, 1);
      }
      int thisTry = triesMade;
      tryDeadline = clock.getAsLong() + Experiment.nanos(spec.outer());
      loop.schedule(
          () -> {
            if (triesMade == thisTry && !tryEnded) {
              endTry(querySent ? TryOutcome.NO_ANSWER : TryOutcome.NOT_SENT, 0);
              disconnect();
            }
          },
          Experiment.nanos(spec.outer()),
          TimeUnit.NANOSECONDS);
      if (connected) {
        sendQuery(channel);
      } else {
        connect();
      }
    }

    private void connect() {
      connects++;
      querySent = false;
      channel =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.TCP_NODELAY, true)
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel each) {
                      each.pipeline().addLast(new MessageCodec(false), new ResponseHandler());
                    }
                  })
              .connect(router)
              .addListener(
                  done -> {
                    if (!done.isSuccess() && !tryEnded) {
                      endTry(TryOutcome.NOT_SENT, 0);
                    }
                  })
              .channel();
    }

    private void sendQuery(Channel target) {
      querySent = true;
      ByteBuf out = target.alloc().buffer(256);
      if (!connected) {
        MessageCodec.writeStartup(out);
        connected = true;
      }
      String id = number + "-" + triesMade + (resends > 0 ? "-" + resends : "");
      MessageCodec.write(
          out,
          'Q',
          Statement.format(
                  spec.isWrite(),
                  "k" + number,
                  id,
                  spec.product(),
                  Math.max(1, (tryDeadline - clock.getAsLong()) / 1_000_000),
                  spec.group())
              + "\0");
      target.writeAndFlush(out);
    }

    private void disconnect() {
      connected = false;
      if (channel != null) {
        channel.close();
      }
    }

    private void endTry(TryOutcome end, long retryAfter) {
      tryEnded = true;
      this.retryAfter = retryAfter;
      if (spec.isWrite() && end != TryOutcome.NOT_SENT && end != TryOutcome.NO_ANSWER) {
        ledger.recordAnswer(number, end == TryOutcome.SUCCESS);
      }
      switch (end) {
        case SUCCESS -> {
          succeeded++;
          result.addToSeries("goodput", clock.getAsLong() - startNanos, 1);
          result.recordCompletion(clock.getAsLong() - startedAt);
          finish();
        }
        case REJECTED -> {
          rejected++;
          rejectedWithRetryAfter += retryAfter > 0 ? 1 : 0;
          hasRetryAfter = retryAfter > 0;
          result.addToSeries("turned back", clock.getAsLong() - startNanos, 1);
          retryOrFinish();
        }
        case NOT_SENT -> retryOrFinish();
        case FAILED, NO_ANSWER -> {
          unanswered += end == TryOutcome.NO_ANSWER ? 1 : 0;
          if (spec.isWrite()) {
            outcomeUnknown++; // it may have run: such a client asks its treasurer, not the store
            // again
            finish();
          } else {
            retryOrFinish();
          }
        }
      }
    }

    private void retryOrFinish() {
      if (triesMade >= spec.tries()) {
        triesExhausted++;
        finish();
        return;
      }
      if (!spec.stays() && !hasRetryAfter) {
        disconnect();
      }
      long pause = spec.retryBehavior().retryDelay(triesMade, retryAfter, random);
      loop.schedule(this::startTry, pause, TimeUnit.NANOSECONDS);
    }

    private void finish() {
      if (!finished) {
        finished = true;
        unfinished--;
        if (!spec.stays()) {
          disconnect();
        }
      }
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<MessageCodec.Message> {
      @Override
      public void channelActive(ChannelHandlerContext context) {
        if (!tryEnded && context.channel() == channel) {
          sendQuery(context.channel());
        }
      }

      @Override
      protected void channelRead0(ChannelHandlerContext context, MessageCodec.Message message) {
        if (context.channel() != channel) {
          return;
        }
        if (message.type() == 'D' || message.type() == 'E') {
          if (tryEnded) {
            surplusAnswers++;
            return;
          }
          handleAnswer(message);
        }
      }

      private void handleAnswer(MessageCodec.Message message) {
        if (message.type() == 'D') {
          boolean mine = message.text().endsWith("k" + number);
          if (!mine) {
            surplusAnswers++;
          }
          endTry(TryOutcome.SUCCESS, 0);
          return;
        }
        String code = message.field('C');
        String detail = message.field('D');
        boolean back = "53300".equals(code) || "57P03".equals(code);
        if ("FATAL".equals(message.field('S'))) {
          connected = false;
        }
        endTry(
            back ? TryOutcome.REJECTED : TryOutcome.FAILED,
            detail == null ? 0 : Long.parseLong(detail) * 1_000_000L);
      }

      @Override
      public void channelInactive(ChannelHandlerContext context) {
        if (context.channel() != channel) {
          return;
        }
        if (hasRetryAfter && tryEnded && connected && !finished) {
          closedDespiteRetryAfter++;
        }
        connected = false;
        if (!tryEnded) {
          // An access that crosses a close between two goes once more; one that was taken is lost.
          if (querySent && resends < 1 && !spec.isWrite()) {
            resends++;
            connect();
          } else {
            endTry(querySent ? TryOutcome.NO_ANSWER : TryOutcome.NOT_SENT, 0);
          }
        }
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
      }
    }
  }
}
