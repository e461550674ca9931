package rushwood.net;

import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;

/**
 * Limits how many connections the listener accepts per turn of the event loop: all pending ones, as
 * long as there is room for them. The kernel has already accepted a pending connection, so its
 * client may have sent a request whose deadline is running. The router can neither serve nor reject
 * that request before it accepts the connection.
 */
final class AcceptBatch {
  /**
   * Connections accepted per turn even if there is no room. They may exceed the connection limit
   * for a moment and then use descriptors that are reserved for the router itself.
   */
  static final int MIN_CONNECTIONS = 16;

  private static final int MAX_CONNECTIONS = FrontendServer.LISTEN_BACKLOG;

  private final ServerChannelRecvByteBufAllocator allocator =
      new ServerChannelRecvByteBufAllocator();

  AcceptBatch() {
    setRemainingCapacity(0);
  }

  /**
   * Sets how many more connections may be opened; takes effect when the listener next starts to
   * accept.
   */
  void setRemainingCapacity(int connections) {
    int batchSize = Math.max(MIN_CONNECTIONS, Math.min(MAX_CONNECTIONS, connections));
    allocator.maxMessagesPerRead(batchSize);
  }

  /** Returns the allocator through which the listener's channel applies this limit. */
  RecvByteBufAllocator allocator() {
    return allocator;
  }
}
