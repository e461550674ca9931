package rushwood.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.Supplier;
import rushwood.protocol.ErrorResponse;
import rushwood.protocol.MessageReader;
import rushwood.protocol.MessageWriter;
import rushwood.protocol.ProtocolException;

/**
 * The other side of a rehearsal: clients that ask one statement after the other, hosts that answer
 * at once.
 */
public abstract class WarmupPeers extends ChannelInboundHandlerAdapter {
  private static final int MAX_MESSAGE_LENGTH = 1 << 16;
  private static final int QUERIES_PER_CONNECTION =
      4; // of a connection: a start opens hundreds at once

  MessageReader reader;
  int answers;

  @Override
  public void channelActive(ChannelHandlerContext context) {
    reader = new MessageReader(context.alloc(), type -> MAX_MESSAGE_LENGTH);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws ProtocolException {
    reader.feed((ByteBuf) message);
    ByteBuf out = context.alloc().buffer(256);
    while (handleNextMessage(out)) {
      continue; // each writes its answer
    }
    reader.releaseIfEmpty();
    ChannelFuture written = context.writeAndFlush(out);
    if (answers > QUERIES_PER_CONNECTION) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    reader.close();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close(); // the other side closed first
  }

  /** Whether a whole message was there. */
  abstract boolean handleNextMessage(ByteBuf out) throws ProtocolException;

  /** A host; one answer in ten is an error, one a refusal. */
  public static final class Backend extends WarmupPeers {
    private static final int ANSWER_KINDS = 10;

    private final int firstKind;
    private boolean started;

    /** The first answers of many connections are to be of every kind. */
    public Backend(int firstKind) {
      this.firstKind = firstKind;
    }

    @Override
    boolean handleNextMessage(ByteBuf out) throws ProtocolException {
      if ((started ? reader.nextMessage() : reader.nextStartupMessage()) == null) {
        return false;
      }
      if (!started) {
        started = true;
        MessageWriter.writeStartupResponse(out, 0);
        return true;
      }
      int kind = (firstKind + answers++) % ANSWER_KINDS;
      if (kind > 7) {
        MessageWriter.writeErrorResponse(
            out, ErrorResponse.error(kind == 8 ? "XX000" : "72000", "rehearsed"));
      } else {
        MessageWriter.writeRowDescription(out, "val");
        MessageWriter.writeDataRow(out, "x0=0,x1=0");
        MessageWriter.writeCommandComplete(out, "SELECT 1");
      }
      MessageWriter.writeParameterStatus(out, "part", "replica");
      MessageWriter.writeParameterStatus(out, "caught_up_to", "1");
      MessageWriter.writeParameterStatus(out, "gauges", "x0=0,x1=0");
      MessageWriter.writeReadyForQuery(out);
      return true;
    }
  }

  /** A client; asks what it is given after each answer. */
  public static final class Client extends WarmupPeers {
    private final Supplier<String> statements;
    private final Runnable reconnect;

    /** With what it asks, and what opens another connection once this one is closed. */
    public Client(Supplier<String> statements, Runnable reconnect) {
      this.statements = statements;
      this.reconnect = reconnect;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      super.channelInactive(context);
      reconnect.run();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      super.channelActive(context);
      context.writeAndFlush(MessageWriter.startupMessage(context.alloc()));
    }

    @Override
    boolean handleNextMessage(ByteBuf out) throws ProtocolException {
      if (reader.nextMessage() == null) {
        return false;
      }
      if (reader.type() == 'Z' && answers++ < QUERIES_PER_CONNECTION) {
        ByteBuf query = MessageWriter.queryMessage(out.alloc(), statements.get());
        out.writeBytes(query);
        query.release();
      }
      return true;
    }
  }
}
