package rushwood.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.Supplier;

/**
 * The other side of a rehearsal: clients that ask one statement after the other, hosts that answer
 * at once.
 */
public abstract class RehearsedPeers extends ChannelInboundHandlerAdapter {
  private static final int LONGEST = 1 << 16;
  private static final int USES = 4; // of a connection: a start opens hundreds at once

  Frames frames;
  int answers;

  @Override
  public void channelActive(ChannelHandlerContext context) {
    frames = new Frames(context.alloc(), type -> LONGEST);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Fault {
    frames.feed((ByteBuf) message);
    ByteBuf out = context.alloc().buffer(256);
    while (take(out)) {
      continue; // each writes its answer
    }
    frames.trim();
    ChannelFuture written = context.writeAndFlush(out);
    if (answers > USES) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    frames.close();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close(); // the other side closed first
  }

  /** Whether a whole message was there. */
  abstract boolean take(ByteBuf out) throws Fault;

  /** A host; one answer in ten is an error, one a refusal. */
  public static final class Host extends RehearsedPeers {
    private static final int KINDS = 10;

    private final int first;
    private boolean started;

    /** The first answers of many connections are to be of every kind. */
    public Host(int first) {
      this.first = first;
    }

    @Override
    boolean take(ByteBuf out) throws Fault {
      if ((started ? frames.typed() : frames.untyped()) == null) {
        return false;
      }
      if (!started) {
        started = true;
        Messages.welcome(out, 0);
        return true;
      }
      int turn = (first + answers++) % KINDS;
      if (turn > 7) {
        Messages.error(out, false, turn == 8 ? "XX000" : "72000", "rehearsed", null);
      } else {
        Messages.columns(out, "val");
        Messages.row(out, "x0=0,x1=0");
        Messages.complete(out, "SELECT 1");
      }
      Messages.parameter(out, "part", "replica");
      Messages.parameter(out, "caught_up_to", "1");
      Messages.parameter(out, "gauges", "x0=0,x1=0");
      Messages.ready(out);
      return true;
    }
  }

  /** A client; asks what it is given after each answer. */
  public static final class Client extends RehearsedPeers {
    private final Supplier<String> statements;
    private final Runnable again;

    /** With what it asks, and what opens another connection once this one is closed. */
    public Client(Supplier<String> statements, Runnable again) {
      this.statements = statements;
      this.again = again;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      super.channelInactive(context);
      again.run();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      super.channelActive(context);
      context.writeAndFlush(Messages.startup(context.alloc()));
    }

    @Override
    boolean take(ByteBuf out) throws Fault {
      if (frames.typed() == null) {
        return false;
      }
      if (frames.type() == 'Z' && answers++ < USES) {
        ByteBuf query = Messages.query(out.alloc(), statements.get());
        out.writeBytes(query);
        query.release();
      }
      return true;
    }
  }
}
