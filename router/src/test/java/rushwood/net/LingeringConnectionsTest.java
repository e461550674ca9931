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

/** How long and how many connections may linger: {@link LingeringClose} and its collection. */
class LingeringConnectionsTest {
  private static final int MAX_LINGERING = 4;
  private static final int MAX_DISCARDED_BYTES = 1 << 20;

  private final FakeEventLoop loop = new FakeEventLoop();
  private final LingeringConnections connections = new LingeringConnections(loop.clock);

  /** Never tells that anything is written, as with a peer that does not read. */
  private static final class UnreadOutput extends ChannelOutboundHandlerAdapter {
    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      ReferenceCountUtil.release(message);
    }
  }

  @AfterEach
  void checkBuffers() {
    TestMessages.assertAllReleased();
  }

  private EmbeddedChannel linger(EmbeddedChannel channel) {
    LingeringClose connection = new LingeringClose(channel);
    channel.pipeline().addLast(connection);
    connections.add(connection);
    return channel;
  }

  private List<EmbeddedChannel> linger(int count) {
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
  void outputIsShutDownAndPeerHasASecondToClose() {
    DuplexEmbeddedChannel channel = new DuplexEmbeddedChannel();
    linger(channel);
    assertTrue(channel.isOutputShutdown());
    checkDeadlinesAfter(0); // the second counts from the first check
    checkDeadlinesAfter(999);
    assertTrue(channel.isOpen());
    checkDeadlinesAfter(1);
    assertFalse(channel.isOpen());
    assertEquals(0, connections.size());
  }

  @Test
  void peerThatDoesNotReadIsClosedAfterTheWriteTimeout() {
    DuplexEmbeddedChannel channel = new DuplexEmbeddedChannel();
    channel.pipeline().addLast(new UnreadOutput());
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
  void oldestIsClosedForOneTooMany() {
    List<EmbeddedChannel> channels = linger(MAX_LINGERING);
    channels.forEach(channel -> assertTrue(channel.isOpen()));
    linger(1);
    assertFalse(channels.get(0).isOpen());
    assertTrue(channels.get(1).isOpen());
    assertEquals(MAX_LINGERING, connections.size());
  }

  @Test
  void anyNumberMayLingerDuringShutdown() {
    connections.removeLimit();
    List<EmbeddedChannel> channels = linger(MAX_LINGERING + 1);
    channels.forEach(channel -> assertTrue(channel.isOpen()));
    connections.closeAll();
    channels.forEach(channel -> assertFalse(channel.isOpen()));
  }
}
