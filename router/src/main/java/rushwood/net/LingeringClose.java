package rushwood.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;

/**
 * A connection that can be closed without losing the last answer. A socket that is closed while
 * unread bytes are in its receive buffer is reset, and the peer may lose what it has not read yet.
 * So the output is shut down once everything is written, and input is read and dropped until the
 * peer closes its side, for a limited time and up to a limited number of bytes.
 */
class LingeringClose extends ChannelInboundHandlerAdapter {
  // For the peer to read what is written.
  private static final long WRITE_TIMEOUT_NANOS = 2_400_000_000L;
  // Then, for the peer to close its side: many round trips.
  private static final long LINGER_NANOS = 1_000_000_000L;
  private static final int MAX_DISCARDED_BYTES = 1 << 20;

  final Channel channel;
  private long deadline;
  private int discardedBytes;
  private boolean lingering;
  private boolean outputShutDown; // since the last check of the deadline

  LingeringClose(Channel channel) {
    this.channel = channel;
  }

  /** Whether the router has ended the connection: input is dropped from then on. */
  final boolean isLingering() {
    return lingering;
  }

  /** Ends the connection behind what has been written; {@link #checkDeadline} limits the time. */
  final void startLingering(long now) {
    lingering = true;
    deadline = now + WRITE_TIMEOUT_NANOS;
    channel.config().setAutoRead(true);
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(written -> shutDownOutput(written.isSuccess()));
  }

  private void shutDownOutput(boolean isWritten) {
    if (isWritten && channel instanceof DuplexChannel duplex) {
      outputShutDown = true;
      duplex.shutdownOutput();
    } else {
      channel.close();
    }
  }

  /** Closes the channel if its time is over; call it every now and then while it lingers. */
  final void checkDeadline(long now) {
    if (outputShutDown) {
      outputShutDown = false;
      deadline = now + LINGER_NANOS;
    }
    if (now >= deadline) {
      channel.close();
    }
  }

  /** Drops input, and releases it. */
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
