package rushwood.net;

import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;

/**
 * How many connections the listener accepts in one turn of the event loop: all that wait, while
 * there is room for them. A connection that waits has been accepted by the kernel, and its client
 * has sent a request whose time runs; until the router accepts it too, it can neither serve nor
 * reject that request.
 */
final class AcceptBatch {
  /**
   * As many at least, also where there is no room: they may exceed the limit for a moment, on
   * descriptors of the router's own share.
   */
  static final int MIN_CONNECTIONS = 16;

  private static final int MAX_CONNECTIONS = FrontendServer.LISTEN_BACKLOG;

  private final ServerChannelRecvByteBufAllocator allocator =
      new ServerChannelRecvByteBufAllocator();

  AcceptBatch() {
    setRoom(0);
  }

  /** Sets for how many connections there is room; holds from the listener's next turn on. */
  void setRoom(int connections) {
    int size = Math.max(MIN_CONNECTIONS, Math.min(MAX_CONNECTIONS, connections));
    allocator.maxMessagesPerRead(size);
  }

  /** What the listener asks before it accepts. */
  RecvByteBufAllocator allocator() {
    return allocator;
  }
}
