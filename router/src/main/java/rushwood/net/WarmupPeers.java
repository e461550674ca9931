package rushwood.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.Supplier;
import rushwood.protocol.BackendMessageType;
import rushwood.protocol.ErrorResponse;
import rushwood.protocol.MessageReader;
import rushwood.protocol.MessageWriter;
import rushwood.protocol.ProtocolException;
import rushwood.protocol.SqlState;

/**
 * The peers of a router during warm-up: clients that send one statement after the other, and hosts
 * that answer at once. Channel handlers, one for each channel.
 */
public abstract class WarmupPeers extends ChannelInboundHandlerAdapter {
  private static final int MAX_MESSAGE_LENGTH = 1 << 16;

  // Few, so that opening and closing connections is warmed up too: a router that has just started
  // is sent hundreds at once.
  private static final int QUERIES_PER_CONNECTION = 4;

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
    boolean more = true;
    while (more) {
      more = handleNextMessage(out);
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

  /** The other side closed first. */
  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }

  /** Reads a message and writes the answer to it; returns whether a whole message was there. */
  abstract boolean handleNextMessage(ByteBuf out) throws ProtocolException;

  /** A host: of ten answers eight are rows, one an error, one that its data is too old. */
  public static final class Backend extends WarmupPeers {
    private static final int ANSWER_KINDS = 10;
    private static final int ERROR_KIND = 8;
    private static final int LAGGING_KIND = 9;
    private static final String INTERNAL_ERROR = "XX000";
    private static final String REPLICA_REPORT = "x0=0,x1=0";

    private final int firstKind;
    private boolean started;

    /**
     * Creates a host for one connection.
     *
     * @param firstKind the kind of its first answer; with a running number the first answers of
     *     many connections are of all kinds
     */
    public Backend(int firstKind) {
      this.firstKind = firstKind;
    }

    @Override
    boolean handleNextMessage(ByteBuf out) throws ProtocolException {
      if ((started ? reader.nextMessage() : reader.nextStartupMessage()) == null) {
        return false;
      }
      if (started) {
        writeAnswer(out, (firstKind + answers++) % ANSWER_KINDS);
      } else {
        started = true;
        MessageWriter.writeStartupResponse(out, 0);
      }
      return true;
    }

    private static void writeAnswer(ByteBuf out, int kind) {
      switch (kind) {
        case ERROR_KIND -> writeError(out, INTERNAL_ERROR);
        case LAGGING_KIND -> writeError(out, SqlState.SNAPSHOT_TOO_OLD);
        default -> writeRow(out);
      }
      MessageWriter.writeParameterStatus(out, "part", "replica");
      MessageWriter.writeParameterStatus(out, "caught_up_to", "1");
      MessageWriter.writeParameterStatus(out, "gauges", REPLICA_REPORT);
      MessageWriter.writeReadyForQuery(out);
    }

    private static void writeError(ByteBuf out, String sqlState) {
      MessageWriter.writeErrorResponse(out, ErrorResponse.error(sqlState, "warm-up"));
    }

    private static void writeRow(ByteBuf out) {
      MessageWriter.writeRowDescription(out, "val");
      MessageWriter.writeDataRow(out, REPLICA_REPORT);
      MessageWriter.writeCommandComplete(out, "SELECT 1");
    }
  }

  /** A client that sends its next statement when the last one is answered. */
  public static final class Client extends WarmupPeers {
    private final Supplier<String> statements;
    private final Runnable reconnect;

    /**
     * Creates a client for one connection.
     *
     * @param statements called for each statement
     * @param reconnect called once the connection is closed
     */
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
      if (reader.type() == BackendMessageType.READY_FOR_QUERY
          && answers++ < QUERIES_PER_CONNECTION) {
        ByteBuf query = MessageWriter.queryMessage(out.alloc(), statements.get());
        out.writeBytes(query);
        query.release();
      }
      return true;
    }
  }
}
