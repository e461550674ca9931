package rushwood.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import rushwood.dispatch.BackendConnection;
import rushwood.dispatch.Counter;
import rushwood.dispatch.Counters;
import rushwood.protocol.BackendProtocol;
import rushwood.protocol.MessageWriter;
import rushwood.protocol.ResponseMemory;

/**
 * A connection to a host: the channel handler that passes input to a {@link BackendProtocol} and
 * writes its statements. Used only on the event loop of its channel.
 */
final class BackendChannel extends ChannelInboundHandlerAdapter implements BackendConnection {
  private final ByteBufAllocator allocator;
  private final Counters counters;
  private final BackendProtocol protocol;

  @SuppressWarnings("NullAway.Init") // set by attach before the channel calls its handler
  private Channel channel;

  private boolean accepted; // by the host
  private boolean statementWritten;
  private boolean closed; // the protocol was notified and gets no further input

  /** Creates the handler for a channel that is not connected yet. Call {@link #attach} next. */
  BackendChannel(
      ByteBufAllocator allocator,
      ResponseMemory memory,
      Counters counters,
      BackendConnection.Listener listener) {
    this.allocator = allocator;
    this.counters = counters;
    protocol = new BackendProtocol(allocator, memory, listener, this::endForLackOfMemory);
  }

  private void endForLackOfMemory() {
    counters.increment(Counter.RESPONSES_ABANDONED);
    connectionLost();
  }

  /** Sets the channel whose pipeline contains this handler. */
  void attach(Channel channel) {
    this.channel = channel;
  }

  /**
   * Reports that the connection could not be established. If the host is down, connecting is
   * refused, times out or finds no route; any other failure means that the host accepted the
   * connection and reset it immediately.
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
  public boolean isReusable() {
    // In a long turn, input that followed a response may not have been read since.
    if (isOpen() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
      socket.read();
    }
    return isOpen();
  }

  private boolean isOpen() {
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
