package rushwood.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import rushwood.dispatch.FakeEventLoop;
import rushwood.protocol.TestMessages;

/**
 * Tests how long a {@link LingeringClose} keeps its connection open, and how many connections may
 * linger at once.
 */
class LingeringConnectionsTest {
  private static final int MAX_LINGERING = 4;
  private static final int MAX_DISCARDED_BYTES = 1 << 20;

  private final FakeEventLoop loop = new FakeEventLoop();
  private final LingeringConnections connections = new LingeringConnections(loop.clock);

  /** Never completes a write, like the channel of a peer that does not read. */
  private static final class StalledWriteHandler extends ChannelOutboundHandlerAdapter {
    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      ReferenceCountUtil.release(message);
    }
  }

  @AfterEach
  void assertAllBuffersReleased() {
    TestMessages.assertAllReleased();
  }

  private EmbeddedChannel linger(EmbeddedChannel channel) {
    LingeringClose connection = new LingeringClose(channel);
    channel.pipeline().addLast(connection);
    connections.add(connection);
    return channel;
  }

  private List<EmbeddedChannel> lingerMany(int count) {
    List<EmbeddedChannel> channels = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      channels.add(linger(new DuplexEmbeddedChannel()));
    }
    return channels;
  }

  private void checkDeadlinesAfter(long millis) {
    loop.advanceBy(millis);
    connections.checkDeadlines();
  }

  @Test
  void outputIsShutDownAndChannelIsClosedAfterTheLingerTime() {
    DuplexEmbeddedChannel channel = new DuplexEmbeddedChannel();
    linger(channel);
    assertTrue(channel.isOutputShutdown());
    checkDeadlinesAfter(0); // the linger time counts from the first check
    checkDeadlinesAfter(999);
    assertTrue(channel.isOpen());
    checkDeadlinesAfter(1);
    assertFalse(channel.isOpen());
    assertEquals(0, connections.size());
  }

  @Test
  void channelIsClosedAfterTheWriteTimeoutIfThePeerDoesNotRead() {
    DuplexEmbeddedChannel channel = new DuplexEmbeddedChannel();
    channel.pipeline().addLast(new StalledWriteHandler());
    linger(channel);
    checkDeadlinesAfter(2399);
    assertTrue(channel.isOpen());
    assertFalse(channel.isOutputShutdown());
    checkDeadlinesAfter(1);
    assertFalse(channel.isOpen());
  }

  @Test
  void channelThatCannotShutDownItsOutputIsClosedAtOnce() {
    assertFalse(linger(new EmbeddedChannel()).isOpen());
  }

  @Test
  void inputIsDroppedUpToALimit() {
    EmbeddedChannel channel = linger(new DuplexEmbeddedChannel());
    channel.writeInbound(TestMessages.buffer(new byte[MAX_DISCARDED_BYTES]));
    assertTrue(channel.isOpen());
    channel.writeInbound(TestMessages.buffer(new byte[1]));
    assertFalse(channel.isOpen());
  }

  @Test
  void oldestConnectionIsClosedAboveTheLimit() {
    List<EmbeddedChannel> channels = lingerMany(MAX_LINGERING);
    channels.forEach(channel -> assertTrue(channel.isOpen()));
    lingerMany(1);
    assertFalse(channels.get(0).isOpen());
    assertTrue(channels.get(1).isOpen());
    assertEquals(MAX_LINGERING, connections.size());
  }

  @Test
  void anyNumberMayLingerOnceTheLimitIsRemoved() {
    connections.removeLimit();
    List<EmbeddedChannel> channels = lingerMany(MAX_LINGERING + 1);
    channels.forEach(channel -> assertTrue(channel.isOpen()));
    connections.closeAll();
    channels.forEach(channel -> assertFalse(channel.isOpen()));
  }
}
