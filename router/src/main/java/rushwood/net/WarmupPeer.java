package rushwood.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import rushwood.protocol.MessageReader;
import rushwood.protocol.ProtocolException;

/**
 * A simulated client or host for the warm-up. The handler of one channel: answers messages, and
 * closes the connection after a few answers.
 */
abstract class WarmupPeer extends ChannelInboundHandlerAdapter {
  private static final int MAX_MESSAGE_LENGTH = 1 << 16;

  // Small, so that opening and closing connections is warmed up too: a router that has just started
  // receives hundreds of connections at once.
  static final int QUERIES_PER_CONNECTION = 4;

  @SuppressWarnings("NullAway.Init") // set by channelActive before any use
  private MessageReader reader;

  private int answers;

  @Override
  public void channelActive(ChannelHandlerContext context) {
    reader = new MessageReader(context.alloc(), type -> MAX_MESSAGE_LENGTH);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws ProtocolException {
    reader.feed((ByteBuf) message);
    ByteBuf out = context.alloc().buffer(256);
    boolean hasMore = true;
    while (hasMore) {
      hasMore = handleNextMessage(reader, out);
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

  /** Closes the channel; the usual cause is that the router closed the connection first. */
  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }

  /**
   * Reads the next message and writes the answer to it, if any.
   *
   * @return false if no complete message has been received
   */
  abstract boolean handleNextMessage(MessageReader input, ByteBuf out) throws ProtocolException;

  /** Counts an answer and returns the number of answers before it. */
  final int countAnswer() {
    return answers++;
  }
}
