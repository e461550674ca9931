package rushwood.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import java.util.function.Supplier;
import rushwood.protocol.BackendMessageType;
import rushwood.protocol.MessageReader;
import rushwood.protocol.MessageWriter;
import rushwood.protocol.ProtocolException;

/**
 * A simulated client for the warm-up, which sends its next statement when the previous one has been
 * answered.
 */
public final class WarmupClient extends WarmupPeer {
  private final Supplier<String> statements;
  private final Runnable reconnect;

  /**
   * Creates the handler of one connection.
   *
   * @param statements supplies the text of each statement
   * @param reconnect called when the connection has been closed
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
