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
 * Makes HTTP requests to the discovery agent, each on a connection of its own. Used on one event
 * loop only, which also calls the handlers.
 */
public final class DiscoveryConnector {
  /**
   * Receives the response to one request. Calls that come after the request was closed are to be
   * ignored.
   */
  interface ResponseHandler {
    /**
     * A part of the response's body.
     *
     * @param content valid during this call only
     * @param last whether the response ends with it
     */
    void bodyReceived(ByteBuf content, boolean last);

    /**
     * The request cannot succeed any more. It is to be closed; until then this may be called again.
     *
     * @param reason goes on after "discovery", as in "cannot be reached"
     */
    void requestFailed(String reason);
  }

  /** A request that has been made. */
  interface OpenConnection {
    /** Closes the connection, whether or not it is established. */
    void close();
  }

  private final EventLoop eventLoop;

  /** Creates a connector whose connections belong to {@code eventLoop}. */
  public DiscoveryConnector(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /**
   * Connects and sends a GET request, without a time limit. May call the handler before it returns.
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
                        .addLast(new HttpClientCodec(), new GetRequest(address, path, handler));
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
  private static final class GetRequest extends SimpleChannelInboundHandler<HttpObject> {
    private final InetSocketAddress address;
    private final String path;
    private final ResponseHandler handler;

    GetRequest(InetSocketAddress address, String path, ResponseHandler handler) {
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
      handler.requestFailed(String.valueOf(cause.getMessage()));
    }
  }
}
