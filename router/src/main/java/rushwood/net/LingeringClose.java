package rushwood.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;

/**
 * A channel handler that can close its connection without losing the last answer. A socket that is
 * closed while its receive buffer holds unread bytes is reset, and the peer may lose output that it
 * has not read yet. Lingering therefore shuts down the output once everything is written, and then
 * reads and drops input until the peer closes its side, for a limited time and up to a limited
 * number of bytes.
 */
class LingeringClose extends ChannelInboundHandlerAdapter {
  // Time for the peer to read the pending output.
  private static final long WRITE_TIMEOUT_NANOS = 2_400_000_000L;
  // Time for the peer to close its side after the output is shut down: many round trips.
  private static final long LINGER_NANOS = 1_000_000_000L;
  private static final int MAX_DISCARDED_BYTES = 1 << 20;

  final Channel channel;
  private long deadline;
  private int discardedBytes;
  private boolean lingering;
  private boolean outputShutDown; // until checkDeadline has set the linger deadline

  LingeringClose(Channel channel) {
    this.channel = channel;
  }

  /** Returns whether the router is closing the connection; input is dropped from then on. */
  final boolean isLingering() {
    return lingering;
  }

  /**
   * Shuts down the output once everything written so far has been flushed. The caller has to call
   * {@link #checkDeadline} periodically from then on.
   *
   * @param now clock time in nanoseconds
   */
  final void startLingering(long now) {
    lingering = true;
    deadline = now + WRITE_TIMEOUT_NANOS;
    channel.config().setAutoRead(true);
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(written -> shutDownOutput(written.isSuccess()));
  }

  private void shutDownOutput(boolean isFlushed) {
    if (isFlushed && channel instanceof DuplexChannel duplex) {
      outputShutDown = true;
      duplex.shutdownOutput();
    } else {
      channel.close();
    }
  }

  /** Closes the channel if its deadline has passed. */
  final void checkDeadline(long now) {
    if (outputShutDown) {
      outputShutDown = false;
      deadline = now + LINGER_NANOS;
    }
    if (now >= deadline) {
      channel.close();
    }
  }

  /** Releases the input without processing it; closes the channel if it received too much. */
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
