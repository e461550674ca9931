package rushwood.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import rushwood.protocol.MessageReader;
import rushwood.protocol.ProtocolException;

/**
 * A peer of a router during warm-up, the handler of one channel: answers each message, and closes
 * the connection after a few.
 */
abstract class WarmupPeer extends ChannelInboundHandlerAdapter {
  private static final int MAX_MESSAGE_LENGTH = 1 << 16;

  // Few, so that opening and closing connections is warmed up too: a router that has just started
  // is sent hundreds at once.
  static final int QUERIES_PER_CONNECTION = 4;

  @SuppressWarnings("NullAway.Init") // channelActive comes before all that use it
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
    boolean more = true;
    while (more) {
      more = handleNextMessage(reader, out);
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
  abstract boolean handleNextMessage(MessageReader input, ByteBuf out) throws ProtocolException;

  /** Counts an answer; returns how many there were before. */
  final int countAnswer() {
    return answers++;
  }
}
