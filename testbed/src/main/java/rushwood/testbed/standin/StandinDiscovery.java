package rushwood.testbed.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
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
 * A discovery agent on a loopback address. It answers requests with the full endpoint list and
 * sends each change on watches. Tests can make it silent, unresponsive or offline, or have it send
 * invalid lists. Once a router is connected, all methods except {@link #listen}, {@link #address}
 * and {@link #close} must be called on the event loop.
 */
public final class StandinDiscovery {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int HEARTBEAT_SECONDS = 2;
  private static final String HEARTBEAT = "\n";
  private static final String WATCH_PARAMETER = "follow=1"; // in a request that starts a watch

  private final Map<String, EndpointEntry> entries = new LinkedHashMap<>();
  private final EventLoop loop;
  private final LoopbackListener listener;
  private final ChannelGroup watches;
  private UnaryOperator<String> rewriter = UnaryOperator.identity();
  private int version = 1;
  private boolean silent;
  private boolean unresponsive;

  /** Creates an agent with an empty list; it does not listen yet. */
  public StandinDiscovery(EventLoop loop) {
    this.loop = loop;
    listener = new LoopbackListener(loop, this::initialize);
    watches = new DefaultChannelGroup(loop);
  }

  private void initialize(Channel channel) {
    channel.pipeline().addLast(new HttpServerCodec(), new RequestHandler());
  }

  /**
   * Starts listening and the heartbeat of the watches, and returns the address once it listens.
   * Must not be called on the event loop.
   */
  public InetSocketAddress listen() throws InterruptedException {
    InetSocketAddress address = listener.listen();
    loop.scheduleAtFixedRate(
        () -> sendToWatches(HEARTBEAT), HEARTBEAT_SECONDS, HEARTBEAT_SECONDS, TimeUnit.SECONDS);
    return address;
  }

  /** Returns the address on which the agent listens, also while it is offline. */
  public InetSocketAddress address() {
    return listener.address();
  }

  /** Closes the listening socket and all connections. */
  public void close() {
    listener.close();
  }

  /** Sets a function that rewrites each list and each change before it is sent. */
  public void rewriteResponses(UnaryOperator<String> rewriter) {
    this.rewriter = rewriter;
  }

  /** Sends lists and changes unmodified again. */
  public void stopRewriting() {
    rewriter = UnaryOperator.identity();
  }

  /** Stops sending on the watches that are open now, without closing them. */
  public void muteWatches() {
    watches.clear();
  }

  /** Resets all open connections. */
  public void resetConnections() {
    listener.resetConnections();
  }

  /**
   * Sets whether the agent is unresponsive: it accepts requests without ever answering them, and is
   * silent. Setting false also ends a silence that {@link #setSilent} began.
   */
  public void setUnresponsive(boolean unresponsive) {
    this.unresponsive = unresponsive;
    silent = unresponsive;
  }

  /** Sets whether the agent is offline: it refuses connections; the open ones are reset. */
  public void setOffline(boolean offline) {
    if (offline) {
      listener.close();
    } else {
      listener.open();
    }
  }

  /** Sets the version of the list; the next change gets the version after it. */
  public void setVersion(int version) {
    this.version = version;
  }

  /**
   * Sets whether the agent is silent: it sends nothing on watches. Changes still increment the
   * version, so a router can detect from a later one that it missed some.
   */
  public void setSilent(boolean silent) {
    this.silent = silent;
  }

  /** Adds or replaces an endpoint and sends the change on the watches. */
  public void publish(EndpointEntry entry) {
    entries.put(entry.id(), entry);
    version++;
    sendToWatches(rewriter.apply(formatList(false, List.of(entry))) + "\n");
  }

  /** Returns the full list as JSON, without rewriting. */
  public String fullList() {
    return formatList(true, List.copyOf(entries.values()));
  }

  /**
   * Returns the JSON with indentation on many lines, as some agents send it.
   *
   * @throws IllegalArgumentException if the text is not JSON
   */
  public static String indent(String json) {
    try {
      return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(MAPPER.readTree(json));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private String formatList(boolean full, List<EndpointEntry> listed) {
    ObjectNode list = JsonNodeFactory.instance.objectNode();
    list.put("version", version).put("full", full);
    ArrayNode servers = list.putArray("servers");
    listed.forEach(entry -> servers.add(entry.toJson()));
    return list.toString();
  }

  private void sendToWatches(String line) {
    if (!silent) {
      watches.writeAndFlush(new DefaultHttpContent(utf8(line)));
    }
  }

  private static ByteBuf utf8(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }

  /** Answers HTTP requests for the full list and starts watches. */
  private final class RequestHandler extends SimpleChannelInboundHandler<Object> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, Object message) {
      if (!(message instanceof HttpRequest request) || unresponsive) {
        return;
      }
      if (request.uri().contains(WATCH_PARAMETER)) {
        startWatch(context);
      } else {
        sendFullList(context);
      }
    }

    private void sendFullList(ChannelHandlerContext context) {
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.OK, utf8(rewriter.apply(fullList())));
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
      context.writeAndFlush(response);
    }

    private void startWatch(ChannelHandlerContext context) {
      DefaultHttpResponse response =
          new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      context.write(response);
      context.writeAndFlush(new DefaultHttpContent(utf8(rewriter.apply(fullList()) + "\n")));
      watches.add(context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
