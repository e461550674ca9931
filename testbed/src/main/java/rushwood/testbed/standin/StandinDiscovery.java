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
 * A discovery agent on a loopback address: it answers with the full endpoint list, and brings each
 * change on watches. Tests make it silent, unresponsive, offline, or have it write invalid lists.
 * All methods but {@link #listen} and {@link #close} are called on its event loop.
 */
public final class StandinDiscovery {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int HEARTBEAT_SECONDS = 2;
  private static final String HEARTBEAT = "\n";
  private static final String WATCH_PARAMETER = "follow=1";

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

  /** Starts listening and the watches' heartbeat, and waits until it listens. */
  public InetSocketAddress listen() throws InterruptedException {
    InetSocketAddress address = listener.listen();
    loop.scheduleAtFixedRate(
        () -> sendToWatches(HEARTBEAT), HEARTBEAT_SECONDS, HEARTBEAT_SECONDS, TimeUnit.SECONDS);
    return address;
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return listener.address();
  }

  /** Closes its sockets. */
  public void close() {
    listener.close();
  }

  /** From now on lists and changes are rewritten before they are sent. */
  public void rewriteResponses(UnaryOperator<String> rewriter) {
    this.rewriter = rewriter;
  }

  /** From now on lists and changes are sent as they are. */
  public void stopRewriting() {
    rewriter = UnaryOperator.identity();
  }

  /** Watches that are open now stay open and get nothing any more. */
  public void muteWatches() {
    watches.clear();
  }

  /** Resets all open connections. */
  public void resetConnections() {
    listener.resetConnections();
  }

  /** While unresponsive it accepts requests and never answers them. */
  public void setUnresponsive(boolean unresponsive) {
    this.unresponsive = unresponsive;
    silent = unresponsive;
  }

  /** While offline it refuses connections; those that are open are reset. */
  public void setOffline(boolean offline) {
    if (offline) {
      listener.close();
    } else {
      listener.open();
    }
  }

  /** Sets the version of the list; the next change has the one after it. */
  public void setVersion(int version) {
    this.version = version;
  }

  /** While silent it sends nothing on watches; a later change shows the gap by its version. */
  public void setSilent(boolean silent) {
    this.silent = silent;
  }

  /** Adds or replaces an endpoint, and tells the watches of it. */
  public void publish(EndpointEntry entry) {
    entries.put(entry.id(), entry);
    version++;
    sendToWatches(rewriter.apply(listJson(false, List.of(entry))) + "\n");
  }

  /** The full list as JSON, not rewritten. */
  public String fullList() {
    return listJson(true, List.copyOf(entries.values()));
  }

  /** The same JSON over many lines, as some agents write it. */
  public static String indent(String json) {
    try {
      return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(MAPPER.readTree(json));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private String listJson(boolean full, List<EndpointEntry> listed) {
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

  /** Answers HTTP requests for the full list, and begins watches. */
  private final class RequestHandler extends SimpleChannelInboundHandler<Object> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, Object message) {
      if (!(message instanceof HttpRequest request) || unresponsive) {
        return;
      }
      if (request.uri().contains(WATCH_PARAMETER)) {
        beginWatch(context);
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

    private void beginWatch(ChannelHandlerContext context) {
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
