package rushwood.lab.load;

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
import rushwood.lab.model.Ledger;
import rushwood.lab.net.Frames;
import rushwood.lab.net.Statement;

/**
 * Clients of one kind on sockets: one access each, several tries, back as their manners are. On one
 * event loop.
 */
final class Crowd {
  private final Experiment.Crowd kind;
  private final EventLoop loop;
  private final LongSupplier clock;
  private final InetSocketAddress router;
  private final SplittableRandom chance;
  private final Result result;
  private final Ledger ledger;
  private final long zero;
  private final int first;
  private int waiting;
  private int fulfilled;
  private int inDoubt;
  private int outOfTries;
  private int turnedBack;
  private int withWait;
  private int closedOnBooked;
  private int noAnswer;
  private int surplus;
  private int connects;

  /** {@code first} numbers the first client: numbers are never used twice in a run. */
  Crowd(
      Experiment.Crowd kind,
      int first,
      EventLoop loop,
      LongSupplier clock,
      long zero,
      InetSocketAddress router,
      long seed,
      Result result,
      Ledger ledger) {
    this.kind = kind;
    this.first = first;
    this.loop = loop;
    this.clock = clock;
    this.zero = zero;
    this.router = router;
    this.result = result;
    this.ledger = ledger;
    chance = new SplittableRandom(seed);
    waiting = kind.count();
  }

  /** All come, evenly over their time. */
  void come() {
    for (int i = 0; i < kind.count(); i++) {
      long at = Experiment.nanos(kind.from() + kind.over() * i / kind.count());
      loop.schedule(
          new Client(first + i)::begin, zero + at - clock.getAsLong(), TimeUnit.NANOSECONDS);
    }
  }

  int waiting() {
    return waiting;
  }

  void tell(String name) {
    result.figure(name + ".clients", kind.count());
    result.figure(name + ".fulfilled", fulfilled);
    result.figure(name + ".share_fulfilled", (double) fulfilled / kind.count());
    result.figure(name + ".in_doubt", inDoubt);
    result.figure(name + ".out_of_tries", outOfTries);
    result.figure(name + ".unfinished", waiting);
    result.figure(name + ".turned_back", turnedBack);
    result.figure(name + ".turned_back_with_wait", withWait);
    result.figure(name + ".connects", connects);
    result.figure(name + ".closed_though_told_to_return", closedOnBooked);
    result.figure(name + ".tries_without_answer", noAnswer);
    result.figure(name + ".answers_too_many", surplus);
  }

  /** What a try came to. */
  private enum End {
    FULFILLED,
    TURNED_BACK,
    FAILED,
    NOT_RUN,
    LOST
  }

  private final class Client {
    private final int number;
    private long began;
    private long
        until; // the end of this try; what connecting took of it is not the router's to spend
    private int tried;
    private int resent;
    private long lastWait;
    private Channel channel;
    private boolean open;
    private boolean asked;
    private boolean ended;
    private boolean booked;
    private boolean over;

    Client(int number) {
      this.number = number;
    }

    private void begin() {
      began = clock.getAsLong();
      next();
    }

    private void next() {
      tried++;
      ended = false;
      booked = false;
      result.count("tries", clock.getAsLong() - zero, 1);
      if (tried > 1) {
        result.count("repeats", clock.getAsLong() - zero, 1);
      }
      int mine = tried;
      until = clock.getAsLong() + Experiment.nanos(kind.outer());
      loop.schedule(
          () -> {
            if (tried == mine && !ended) {
              end(asked ? End.LOST : End.NOT_RUN, 0);
              drop();
            }
          },
          Experiment.nanos(kind.outer()),
          TimeUnit.NANOSECONDS);
      if (open) {
        ask(channel);
      } else {
        connect();
      }
    }

    private void connect() {
      connects++;
      asked = false;
      channel =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.TCP_NODELAY, true)
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel each) {
                      each.pipeline().addLast(new Frames(false), new Reader());
                    }
                  })
              .connect(router)
              .addListener(
                  done -> {
                    if (!done.isSuccess() && !ended) {
                      end(End.NOT_RUN, 0);
                    }
                  })
              .channel();
    }

    private void ask(Channel to) {
      asked = true;
      ByteBuf out = to.alloc().buffer(256);
      if (!open) {
        Frames.startup(out);
        open = true;
      }
      String id = number + "-" + tried + (resent > 0 ? "-" + resent : "");
      Frames.write(
          out,
          'Q',
          Statement.of(
                  kind.writes(),
                  "k" + number,
                  id,
                  kind.product(),
                  Math.max(1, (until - clock.getAsLong()) / 1_000_000),
                  kind.group())
              + "\0");
      to.writeAndFlush(out);
    }

    private void drop() {
      open = false;
      if (channel != null) {
        channel.close();
      }
    }

    private void end(End end, long wait) {
      ended = true;
      lastWait = wait;
      if (kind.writes() && end != End.NOT_RUN && end != End.LOST) {
        ledger.answered(number, end == End.FULFILLED);
      }
      switch (end) {
        case FULFILLED -> {
          fulfilled++;
          result.count("goodput", clock.getAsLong() - zero, 1);
          result.done(clock.getAsLong() - began);
          finish();
        }
        case TURNED_BACK -> {
          turnedBack++;
          withWait += wait > 0 ? 1 : 0;
          booked = wait > 0;
          result.count("turned back", clock.getAsLong() - zero, 1);
          again();
        }
        case NOT_RUN -> again();
        case FAILED, LOST -> {
          noAnswer += end == End.LOST ? 1 : 0;
          if (kind.writes()) {
            inDoubt++; // it may have run: such a client asks its treasurer, not the store again
            finish();
          } else {
            again();
          }
        }
      }
    }

    private void again() {
      if (tried >= kind.tries()) {
        outOfTries++;
        finish();
        return;
      }
      if (!kind.stays() && !booked) {
        drop();
      }
      long pause = kind.comesBack().pause(tried, lastWait, chance);
      loop.schedule(this::next, pause, TimeUnit.NANOSECONDS);
    }

    private void finish() {
      if (!over) {
        over = true;
        waiting--;
        if (!kind.stays()) {
          drop();
        }
      }
    }

    private final class Reader extends SimpleChannelInboundHandler<Frames.Message> {
      @Override
      public void channelActive(ChannelHandlerContext context) {
        if (!ended && context.channel() == channel) {
          ask(context.channel());
        }
      }

      @Override
      protected void channelRead0(ChannelHandlerContext context, Frames.Message message) {
        if (context.channel() != channel) {
          return;
        }
        if (message.type() == 'D' || message.type() == 'E') {
          if (ended) {
            surplus++;
            return;
          }
          answer(message);
        }
      }

      private void answer(Frames.Message message) {
        if (message.type() == 'D') {
          boolean mine = message.text().endsWith("k" + number);
          if (!mine) {
            surplus++;
          }
          end(End.FULFILLED, 0);
          return;
        }
        String code = message.field('C');
        String detail = message.field('D');
        boolean back = "53300".equals(code) || "57P03".equals(code);
        if ("FATAL".equals(message.field('S'))) {
          open = false;
        }
        end(
            back ? End.TURNED_BACK : End.FAILED,
            detail == null ? 0 : Long.parseLong(detail) * 1_000_000L);
      }

      @Override
      public void channelInactive(ChannelHandlerContext context) {
        if (context.channel() != channel) {
          return;
        }
        if (booked && ended && open && !over) {
          closedOnBooked++;
        }
        open = false;
        if (!ended) {
          // An access that crosses a close between two goes once more; one that was taken is lost.
          if (asked && resent < 1 && !kind.writes()) {
            resent++;
            connect();
          } else {
            end(asked ? End.LOST : End.NOT_RUN, 0);
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
