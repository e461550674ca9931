package rushwood.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import rushwood.dispatch.BackendConnection;
import rushwood.dispatch.Counter;
import rushwood.dispatch.Counters;
import rushwood.protocol.BackendProtocol;
import rushwood.protocol.MessageWriter;

/**
 * One connection to a host: the handler of its channel, which reads and writes for a {@link
 * BackendProtocol}. Used on the event loop of the channel only.
 */
final class BackendChannel extends ChannelInboundHandlerAdapter implements BackendConnection {
  private final ByteBufAllocator allocator;
  private final Counters counters;
  private final BackendProtocol protocol;

  @SuppressWarnings("NullAway.Init") // attach sets it before the channel calls its handler
  private Channel channel;

  private boolean accepted;
  private boolean statementWritten;
  private boolean closed; // the protocol has been told, and hears nothing more

  /** Creates the handler of a channel that is not connected yet; {@link #attach} has to follow. */
  BackendChannel(
      ByteBufAllocator allocator, Counters counters, BackendConnection.Listener listener) {
    this.allocator = allocator;
    this.counters = counters;
    protocol = new BackendProtocol(allocator, listener);
  }

  /** Sets the channel that this handler was given to. */
  void attach(Channel channel) {
    this.channel = channel;
  }

  /**
   * A host that is gone refuses a connection or does not react. Any other failure means that it
   * accepted the connection and reset it at once.
   */
  void connectFailed(Throwable cause) {
    accepted = !(cause instanceof ConnectException || cause instanceof NoRouteToHostException);
    connectionLost();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    accepted = true;
    context.writeAndFlush(MessageWriter.startupMessage(allocator));
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (closed) {
      ((ByteBuf) message).release();
    } else if (!protocol.feed((ByteBuf) message) && !closed) {
      counters.increment(Counter.BACKEND_PROTOCOL_ERRORS);
      connectionLost();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (!closed && !protocol.completeRead()) {
      counters.increment(Counter.BACKEND_EXCESS_DATA);
      connectionLost();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    connectionLost();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    connectionLost();
  }

  private void connectionLost() {
    if (!closed) {
      closed = true;
      protocol.connectionLost(accepted);
      channel.close();
    }
  }

  @Override
  public void send(ByteBuf statement, boolean isHealthCheck) {
    statementWritten = false;
    protocol.beginStatement(isHealthCheck);
    channel
        .writeAndFlush(statement)
        .addListener(written -> statementWritten |= written.isSuccess());
  }

  @Override
  public boolean isStatementWritten() {
    return statementWritten;
  }

  @Override
  public boolean isOpen() {
    return !closed && channel.isActive() && protocol.isUsable();
  }

  @Override
  public void close() {
    if (!closed) {
      closed = true;
      protocol.close();
      channel.close();
    }
  }
}
