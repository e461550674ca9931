package rushwood.wire;

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
class Lingering extends ChannelInboundHandlerAdapter {
  private static final long WRITES =
      2_400_000_000L; // the longest for the other side to read what is written
  private static final long LINGERS =
      1_000_000_000L; // then, for it to end: many times any way there and back
  private static final int READS = 1 << 20; // bytes read on meanwhile

  final Channel channel;
  private long endsBy;
  private int discarded;
  private boolean ending;
  private boolean written;

  Lingering(Channel channel) {
    this.channel = channel;
  }

  final boolean isEnding() {
    return ending;
  }

  /** With what tells the time of the turn in which all is written. */
  final void hangUp(long now) {
    ending = true;
    endsBy = now + WRITES;
    channel.config().setAutoRead(true);
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            done -> {
              if (done.isSuccess() && channel instanceof DuplexChannel both) {
                written = true;
                both.shutdownOutput();
              } else {
                channel.close();
              }
            });
  }

  /** Closes it once its time is over. */
  final void lookAtEnd(long now) {
    if (written) {
      written = false;
      endsBy = now + LINGERS;
    }
    if (now >= endsBy) {
      channel.close();
    }
  }

  final void discard(ByteBuf in) {
    discarded += in.readableBytes();
    in.release();
    if (discarded > READS) {
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
