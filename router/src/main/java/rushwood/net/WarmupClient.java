package rushwood.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import java.util.function.Supplier;
import rushwood.protocol.BackendMessageType;
import rushwood.protocol.MessageReader;
import rushwood.protocol.MessageWriter;
import rushwood.protocol.ProtocolException;

/** A client during warm-up that sends its next statement when the last one is answered. */
public final class WarmupClient extends WarmupPeer {
  private final Supplier<String> statements;
  private final Runnable reconnect;

  /**
   * Creates a client for one connection.
   *
   * @param statements called for each statement
   * @param reconnect called once the connection is closed
   */
  public WarmupClient(Supplier<String> statements, Runnable reconnect) {
    this.statements = statements;
    this.reconnect = reconnect;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    super.channelActive(context);
    context.writeAndFlush(MessageWriter.startupMessage(context.alloc()));
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    super.channelInactive(context);
    reconnect.run();
  }

  @Override
  boolean handleNextMessage(MessageReader input, ByteBuf out) throws ProtocolException {
    if (input.nextMessage() == null) {
      return false;
    }
    if (input.type() == BackendMessageType.READY_FOR_QUERY
        && countAnswer() < QUERIES_PER_CONNECTION) {
      ByteBuf query = MessageWriter.queryMessage(out.alloc(), statements.get());
      out.writeBytes(query);
      query.release();
    }
    return true;
  }
}
