package rushwood.server;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import rushwood.api.RequestClass;
import rushwood.net.WarmupBackend;
import rushwood.net.WarmupClient;

/**
 * The clients and backends of a warm-up, connected by Unix domain sockets. Each client sends one
 * request after the other and reconnects whenever its connection is closed.
 *
 * <p>Used on the event loop only, except for {@link #deleteSockets}.
 */
final class WarmupTraffic {
  /** Number of concurrent clients, high enough that some requests have to queue. */
  static final int CLIENT_COUNT = 12;

  /** Of this many successive requests, one has a deadline that cannot be met. */
  private static final int EXPIRED_REQUEST_INTERVAL = 16;

  private static final int EXPIRED_TIMEOUT_MILLIS = 1;
  private static final int REQUEST_TIMEOUT_MILLIS = 2000;

  private final EventLoopGroup eventLoopGroup;
  private final EventLoop eventLoop;
  private final UnixDomainSocketAddress clientAddress;
  private final UnixDomainSocketAddress backendAddress;
  private final List<RequestClass> requestClasses;
  private final ChannelGroup channels;
  private int requestCount;
  private boolean closed;

  /**
   * Creates traffic that does nothing until {@link #start}.
   *
   * @param eventLoopGroup the group whose only event loop is {@code eventLoop}
   * @param directory where the sockets are created
   * @param requestClasses the classes of the requests, used in rotation
   */
  WarmupTraffic(
      EventLoopGroup eventLoopGroup,
      EventLoop eventLoop,
      Path directory,
      List<RequestClass> requestClasses) {
    this.eventLoopGroup = eventLoopGroup;
    this.eventLoop = eventLoop;
    clientAddress = UnixDomainSocketAddress.of(directory.resolve("c"));
    backendAddress = UnixDomainSocketAddress.of(directory.resolve("h"));
    this.requestClasses = requestClasses;
    channels = new DefaultChannelGroup(eventLoop);
  }

  /** Returns the address of the socket on which all backends accept connections. */
  UnixDomainSocketAddress backendAddress() {
    return backendAddress;
  }

  /** Returns how many requests the clients have sent. */
  int requestCount() {
    return requestCount;
  }

  /**
   * Starts the backends, then the clients.
   *
   * @param frontend the handler of client connections of the router that is warmed up
   */
  void start(ChannelHandler frontend) {
    listenForBackendConnections();
    listenForClients(frontend);
  }

  /**
   * Closes all connections and listeners, which would otherwise keep two dozen descriptors open for
   * the lifetime of the process.
   */
  void close() {
    closed = true;
    channels.close();
  }

  /** Deletes the socket files, which closing does not do. Called by the main thread. */
  void deleteSockets() throws IOException {
    Files.deleteIfExists(clientAddress.getPath());
    Files.deleteIfExists(backendAddress.getPath());
  }

  private void listenForBackendConnections() {
    ChannelHandler initializer =
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channels.add(channel);
            channel.pipeline().addLast(new WarmupBackend(requestCount));
          }
        };
    channels.add(serverBootstrap(initializer).bind(backendAddress).channel());
  }

  private void listenForClients(ChannelHandler frontend) {
    channels.add(
        serverBootstrap(frontend)
            .bind(clientAddress)
            .addListener(bound -> connectClients())
            .channel());
  }

  private ServerBootstrap serverBootstrap(ChannelHandler childHandler) {
    return new ServerBootstrap()
        .group(eventLoopGroup)
        .channel(NioServerDomainSocketChannel.class)
        .childHandler(childHandler);
  }

  private void connectClients() {
    for (int i = 0; i < CLIENT_COUNT; i++) {
      connectClient();
    }
  }

  /** Opens a client connection and, once it is closed, another one until {@link #close}. */
  private void connectClient() {
    if (closed) {
      return;
    }
    channels.add(
        new Bootstrap()
            .group(eventLoop)
            .channel(NioDomainSocketChannel.class)
            .handler(new WarmupClient(this::nextStatement, this::connectClient))
            .connect(clientAddress)
            .channel());
  }

  private String nextStatement() {
    RequestClass requestClass = requestClasses.get(requestCount % requestClasses.size());
    requestCount++;
    boolean expires = requestCount % EXPIRED_REQUEST_INTERVAL == 0;
    int timeoutMillis = expires ? EXPIRED_TIMEOUT_MILLIS : REQUEST_TIMEOUT_MILLIS;
    String comment =
        "/* id="
            + requestCount
            + ",c="
            + requestClass.name()
            + ",d="
            + timeoutMillis
            + ",cluster=0 */";
    return requestClass.isWrite()
        ? "INSERT INTO state (uid, val) VALUES ('k', '\\x00') RETURNING val " + comment
        : "SELECT val FROM state WHERE uid = 'k' " + comment;
  }
}
