package rushwood.testbed.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * The discovery agent: the whole list, and a watch that brings each change; silent, indented,
 * broken off or spoilt on order. What it is told on its own loop alone.
 */
public final class StandinDiscovery {
  /** An entry as the list has it. */
  public record Entry(
      String id,
      String address,
      int group,
      String state,
      double weight,
      long startedMillis,
      String role) {
    private String toJson() {
      return "{\"id\":\""
          + id
          + "\",\"addr\":\""
          + address
          + "\",\"zone\":\"a\",\"cell\":"
          + group
          + ",\"state\":\""
          + state
          + "\",\"weight\":"
          + weight
          + ",\"started_ms\":"
          + startedMillis
          + ",\"part\":\""
          + role
          + "\"}";
    }
  }

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int HEARTBEAT_SECONDS = 2; // seconds between them

  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final EventLoop loop;
  private final ChannelGroup watches;
  private Channel listener;
  private final ChannelGroup connections;
  private UnaryOperator<String> writes = UnaryOperator.identity();
  private InetSocketAddress address;
  private int version = 1;
  private boolean silent;
  private boolean down;
  private int fullListRequests;

  public StandinDiscovery(EventLoop loop) {
    this.loop = loop;
    watches = new DefaultChannelGroup(loop);
    connections = new DefaultChannelGroup(loop);
  }

  public InetSocketAddress listen() throws InterruptedException {
    bind().sync();
    address = (InetSocketAddress) listener.localAddress();
    loop.scheduleAtFixedRate(
        () -> sendToWatches("\n"), HEARTBEAT_SECONDS, HEARTBEAT_SECONDS, TimeUnit.SECONDS);
    return address;
  }

  private ChannelFuture bind() {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    connections.add(channel);
                    channel.pipeline().addLast(new HttpServerCodec(), new RequestHandler());
                  }
                })
            .childOption(ChannelOption.SO_LINGER, 0)
            .bind(address == null ? new InetSocketAddress("127.0.0.1", 0) : address);
    listener = bound.channel();
    return bound;
  }

  public InetSocketAddress address() {
    return address;
  }

  public void close() {
    listener.close();
    connections.close();
  }

  /**
   * What is written, whole lists and changes, is made into something else first; null for what it
   * is.
   */
  public void rewriteResponses(UnaryOperator<String> spoilt) {
    writes = spoilt == null ? UnaryOperator.identity() : spoilt;
  }

  /** The watches that are open now say nothing any more, and stay open. */
  public void muteWatches() {
    watches.clear();
  }

  /** All calls that are open now are reset. */
  public void resetConnections() {
    connections.close();
  }

  /** Down, it takes calls and does not answer; those of that time are never answered. */
  public void setUnresponsive(boolean is) {
    down = is;
    silent = is;
  }

  /** It is not there: what is open is reset, and new calls are refused. */
  public void setOffline(boolean is) {
    if (is) {
      listener.close();
      connections.close();
    } else {
      bind();
    }
  }

  /** The version that it counts on from. */
  public void setVersion(int number) {
    version = number;
  }

  public int version() {
    return version;
  }

  /** How often the whole list was asked for. */
  public int fullListRequests() {
    return fullListRequests;
  }

  /** Writes that on all watches, as it is. */
  public void writeRaw(String text) {
    watches.writeAndFlush(
        new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
  }

  /** Nothing more is told while it is silent; what changed meanwhile is told by the next change. */
  public void setSilent(boolean is) {
    silent = is;
  }

  public void publish(Entry entry) {
    entries.put(entry.id(), entry);
    version++;
    sendToWatches(writes.apply(listJson(false, List.of(entry))) + "\n");
  }

  public String fullList() {
    return listJson(true, List.copyOf(entries.values()));
  }

  /** The same laid out over many lines, as some agents write it. */
  public static String indent(String json) {
    try {
      return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(MAPPER.readTree(json));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private String listJson(boolean full, List<Entry> listed) {
    return "{\"version\":"
        + version
        + ",\"full\":"
        + full
        + ",\"servers\":["
        + String.join(",", listed.stream().map(Entry::toJson).toList())
        + "]}";
  }

  private void sendToWatches(String line) {
    if (!silent) {
      watches.writeAndFlush(
          new DefaultHttpContent(Unpooled.copiedBuffer(line, StandardCharsets.UTF_8)));
    }
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<Object> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, Object message) {
      if (!(message instanceof HttpRequest request)) {
        return;
      }
      fullListRequests += request.uri().contains("follow=1") ? 0 : 1;
      if (down) {
        return;
      }
      if (!request.uri().contains("follow=1")) {
        DefaultFullHttpResponse response =
            new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.OK,
                Unpooled.copiedBuffer(writes.apply(fullList()), StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        context.writeAndFlush(response);
        return;
      }
      DefaultHttpResponse response =
          new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      context.write(response);
      context.writeAndFlush(
          new DefaultHttpContent(
              Unpooled.copiedBuffer(writes.apply(fullList()) + "\n", StandardCharsets.UTF_8)));
      watches.add(context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
