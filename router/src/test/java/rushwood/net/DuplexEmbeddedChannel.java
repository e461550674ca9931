package rushwood.net;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.DuplexChannel;

/** An embedded channel whose input and output can be shut down separately, like a TCP channel's. */
final class DuplexEmbeddedChannel extends EmbeddedChannel implements DuplexChannel {
  private boolean inputShutDown;
  private boolean outputShutDown;

  @Override
  public boolean isInputShutdown() {
    return inputShutDown;
  }

  @Override
  public ChannelFuture shutdownInput() {
    return shutdownInput(newPromise());
  }

  @Override
  public ChannelFuture shutdownInput(ChannelPromise promise) {
    inputShutDown = true;
    return promise.setSuccess();
  }

  @Override
  public boolean isOutputShutdown() {
    return outputShutDown;
  }

  @Override
  public ChannelFuture shutdownOutput() {
    return shutdownOutput(newPromise());
  }

  @Override
  public ChannelFuture shutdownOutput(ChannelPromise promise) {
    outputShutDown = true;
    return promise.setSuccess();
  }

  @Override
  public boolean isShutdown() {
    return inputShutDown && outputShutDown;
  }

  @Override
  public ChannelFuture shutdown() {
    return shutdown(newPromise());
  }

  @Override
  public ChannelFuture shutdown(ChannelPromise promise) {
    shutdownInput();
    return shutdownOutput(promise);
  }
}
