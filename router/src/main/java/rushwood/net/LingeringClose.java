package rushwood.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;

/**
 * The end of a connection from our side. Closed outright over bytes that were not read it would be
 * reset, and the last answer with it: so our sending ends once all is written, and what still comes
 * is read and dropped until the other side ends too, for a while and up to a bound. Nothing that is
 * read then is ever taken for a statement.
 */
class LingeringClose extends ChannelInboundHandlerAdapter {
  private static final long WRITE_TIMEOUT_NANOS =
      2_400_000_000L; // the longest for the other side to read what is written
  private static final long LINGER_NANOS =
      1_000_000_000L; // then, for it to end: many times any way there and back
  private static final int MAX_DISCARDED_BYTES = 1 << 20; // bytes read on meanwhile

  final Channel channel;
  private long deadline;
  private int discardedBytes;
  private boolean lingering;
  private boolean outputShutDown;

  LingeringClose(Channel channel) {
    this.channel = channel;
  }

  final boolean isLingering() {
    return lingering;
  }

  /** With what tells the time of the turn in which all is written. */
  final void startLingering(long now) {
    lingering = true;
    deadline = now + WRITE_TIMEOUT_NANOS;
    channel.config().setAutoRead(true);
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            done -> {
              if (done.isSuccess() && channel instanceof DuplexChannel duplex) {
                outputShutDown = true;
                duplex.shutdownOutput();
              } else {
                channel.close();
              }
            });
  }

  /** Closes it once its time is over. */
  final void checkDeadline(long now) {
    if (outputShutDown) {
      outputShutDown = false;
      deadline = now + LINGER_NANOS;
    }
    if (now >= deadline) {
      channel.close();
    }
  }

  final void discard(ByteBuf in) {
    discardedBytes += in.readableBytes();
    in.release();
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      channel.close();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    discard((ByteBuf) message);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
