package rushwood.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;

/**
 * Makes HTTP requests to the discovery agent, each on its own connection. Used on one event loop
 * only, which also calls the handlers.
 */
public final class DiscoveryConnector {
  /**
   * Receives the response to one request. An implementation must ignore calls after it has closed
   * the request.
   */
  interface ResponseHandler {
    /**
     * Called for each part of the response's body.
     *
     * @param content valid only during this call
     * @param last whether this is the end of the response
     */
    void bodyReceived(ByteBuf content, boolean last);

    /**
     * Called if the request has failed. The handler must close the request; until then this method
     * may be called again.
     *
     * @param reason rest of a sentence that begins with "discovery", for example "cannot be
     *     reached"
     */
    void requestFailed(String reason);
  }

  /** Connection of a request. */
  interface OpenConnection {
    /** Closes the connection, whether or not it is established. */
    void close();
  }

  private final EventLoop eventLoop;

  /** Creates a connector whose connections are registered with {@code eventLoop}. */
  public DiscoveryConnector(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /**
   * Connects and sends a GET request, without a timeout. May call the handler before it returns.
   */
  OpenConnection get(InetSocketAddress address, String path, ResponseHandler handler) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new HttpClientCodec(), new GetRequestHandler(address, path, handler));
                  }
                });
    ChannelFuture connecting = bootstrap.connect(address);
    connecting.addListener(
        connected -> {
          if (!connected.isSuccess()) {
            handler.requestFailed("cannot be reached");
          }
        });
    return connecting.channel()::close;
  }

  /** Sends the request once the connection is established, and reads the response. */
  private static final class GetRequestHandler extends SimpleChannelInboundHandler<HttpObject> {
    private final InetSocketAddress address;
    private final String path;
    private final ResponseHandler handler;

    GetRequestHandler(InetSocketAddress address, String path, ResponseHandler handler) {
      this.address = address;
      this.path = path;
      this.handler = handler;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
      request
          .headers()
          .set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
      context.writeAndFlush(request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
      if (message.decoderResult().isFailure()) {
        handler.requestFailed("sent invalid HTTP");
      } else if (message instanceof HttpResponse response
          && !response.status().equals(HttpResponseStatus.OK)) {
        handler.requestFailed("answered with HTTP status " + response.status().code());
      } else if (message instanceof HttpContent content) {
        handler.bodyReceived(content.content(), message instanceof LastHttpContent);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      handler.requestFailed("closed the connection");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      handler.requestFailed("connection failed: " + cause.getMessage());
    }
  }
}
