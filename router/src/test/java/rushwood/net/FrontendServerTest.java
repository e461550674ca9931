package rushwood.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import rushwood.dispatch.Counter;
import rushwood.dispatch.FakeEventLoop;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.DescriptorBudget;
import rushwood.protocol.TestMessages;

/**
 * Tests which new connections are accepted or refused, and which connections the {@link
 * ConnectionLimiter} closes for them.
 */
class FrontendServerTest {
  private static final int MAX_DESCRIPTORS = 10;

  /** The descriptors left for clients before any connection to a backend was opened. */
  private static final int MAX_CLIENTS = 8;

  private static final int ACCEPT_MARGIN = 16;
  private static final long RETRY_AFTER_NANOS = 200 * FakeEventLoop.NANOS_PER_MILLI;

  private final FakeEventLoop loop = new FakeEventLoop();
  private final DescriptorBudget descriptors = new DescriptorBudget(MAX_DESCRIPTORS);
  private final ConnectionAdmission admission =
      new ConnectionAdmission(MAX_DESCRIPTORS, RETRY_AFTER_NANOS);
  private final FrontendServer server =
      FrontendFixture.createServer(loop, descriptors, admission, RETRY_AFTER_NANOS);
  private final List<EmbeddedChannel> channels = new ArrayList<>();

  @AfterEach
  void assertAllResourcesReleased() {
    server.close();
    assertEquals(0, server.openConnections());
    assertEquals(0, admission.openConnections());
    TestMessages.assertAllReleased();
  }

  private EmbeddedChannel connect() {
    EmbeddedChannel channel = new EmbeddedChannel(server);
    channels.add(channel);
    return channel;
  }

  private void connectMany(int count) {
    for (int i = 0; i < count; i++) {
      connect();
    }
  }

  /**
   * Starts a session and has statements answered, after which the connection is idle. The answer to
   * the first statement is written together with the startup response and does not count as an
   * answer, so a second statement is sent.
   */
  private void startSessionAndQuery(EmbeddedChannel channel) {
    channel.writeInbound(
        TestMessages.buffer(
            TestMessages.concat(TestMessages.startup(), TestMessages.query("SHOW counters"))));
    channel.runPendingTasks();
    channel.releaseOutbound();
    channel.writeInbound(TestMessages.buffer(TestMessages.query("SHOW counters")));
    channel.runPendingTasks();
    channel.releaseOutbound();
  }

  private static String takeReceivedTypes(EmbeddedChannel channel) {
    ByteBuf out = channel.readOutbound();
    return out == null ? "" : TestMessages.messageTypes(TestMessages.readAndRelease(out));
  }

  private long openChannels() {
    return channels.stream().filter(EmbeddedChannel::isOpen).count();
  }

  @Test
  void newestConnectionIsRefusedAfterPendingInputIsRead() {
    connectMany(MAX_CLIENTS);
    EmbeddedChannel newest = connect();
    assertEquals(MAX_CLIENTS + 1, openChannels(), "requests may not have been read yet");
    loop.advanceBy(1);
    assertFalse(newest.isOpen());
    assertEquals("E(53300)", takeReceivedTypes(newest));
    assertEquals(MAX_CLIENTS, openChannels());
    assertEquals(1, loop.counters.get(Counter.CLIENTS_REFUSED));
    assertEquals(0, loop.counters.get(Counter.CLIENTS_EVICTED));
  }

  @Test
  void connectionWithoutFirstRequestIsClosedBeforeAnIdleConnection() {
    EmbeddedChannel idle = connect();
    startSessionAndQuery(idle);
    connectMany(MAX_CLIENTS - 1);
    loop.advanceBy(150);
    EmbeddedChannel newest = connect();
    loop.advanceBy(1);
    assertTrue(idle.isOpen());
    assertTrue(newest.isOpen());
    assertFalse(channels.get(1).isOpen(), "the oldest connection without a request");
    assertEquals(1, loop.counters.get(Counter.CLIENTS_EVICTED_UNANSWERED));
  }

  @Test
  void idleConnectionIsClosedIfNoFirstRequestIsOverdue() {
    EmbeddedChannel idle = connect();
    startSessionAndQuery(idle);
    loop.advanceBy(99);
    connectMany(MAX_CLIENTS);
    loop.advanceBy(1);
    assertFalse(idle.isOpen());
    assertEquals(MAX_CLIENTS, openChannels());
    assertEquals(1, loop.counters.get(Counter.CLIENTS_EVICTED));
    assertEquals(0, loop.counters.get(Counter.CLIENTS_EVICTED_UNANSWERED));
  }

  @Test
  void connectionAboveTheMarginIsRefusedAtOnceIfNoneCanBeClosed() {
    connectMany(MAX_CLIENTS + ACCEPT_MARGIN);
    assertEquals(0, loop.counters.get(Counter.CLIENTS_REFUSED));
    EmbeddedChannel refused = connect();
    assertFalse(refused.isOpen());
    assertEquals("E(53300)", takeReceivedTypes(refused));
    assertEquals(1, loop.counters.get(Counter.CLIENTS_REFUSED));
    assertEquals(MAX_CLIENTS + ACCEPT_MARGIN, openChannels());
  }

  @Test
  void connectionsAreRefusedWhileTheServerDrains() {
    server.drain();
    EmbeddedChannel refused = connect();
    assertFalse(refused.isOpen());
    assertEquals("E(57P03)", takeReceivedTypes(refused));
    assertEquals(1, loop.counters.get(Counter.CLIENTS_REFUSED));
    assertEquals(0, loop.counters.get(Counter.CLIENTS_ACCEPTED));
  }
}
