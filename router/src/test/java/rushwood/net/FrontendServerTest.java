package rushwood.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import rushwood.dispatch.Counter;
import rushwood.dispatch.FakeEventLoop;
import rushwood.net.FrontendConnectionTest.PendingPolicy;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.DescriptorBudget;
import rushwood.protocol.TestMessages;

/** What becomes of a new connection, and which one ends for it: with {@link ConnectionLimiter}. */
class FrontendServerTest {
  private static final int MAX_DESCRIPTORS = 10;

  /** What backends leave that have used no connection yet. */
  private static final int MAX_CLIENTS = 8;

  private static final int ACCEPT_MARGIN = 16;
  private static final long RETRY_AFTER_NANOS = 200 * FakeEventLoop.NANOS_PER_MILLI;

  private final FakeEventLoop loop = new FakeEventLoop();
  private final DescriptorBudget descriptors = new DescriptorBudget(MAX_DESCRIPTORS);
  private final ConnectionAdmission admission =
      new ConnectionAdmission(MAX_DESCRIPTORS, RETRY_AFTER_NANOS);
  private final FrontendServer server =
      new FrontendServer(
          FrontendConnectionTest.createDispatcher(loop, descriptors, new PendingPolicy()),
          loop.clock,
          loop.timers,
          loop.counters,
          TestMessages.REQUEST_CLASSES,
          new ConnectionLimits(admission, descriptors, () -> RETRY_AFTER_NANOS),
          new SplittableRandom(1));
  private final List<EmbeddedChannel> channels = new ArrayList<>();

  @AfterEach
  void checkThatNothingIsHeld() {
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

  private void connect(int count) {
    for (int i = 0; i < count; i++) {
      connect();
    }
  }

  /** Has it answered behind its startup response, which is no answer; it is idle from now on. */
  private void serve(EmbeddedChannel channel) {
    channel.writeInbound(
        TestMessages.buffer(
            TestMessages.concat(TestMessages.startup(), TestMessages.query("SHOW counters"))));
    channel.runPendingTasks();
    channel.releaseOutbound();
    channel.writeInbound(TestMessages.buffer(TestMessages.query("SHOW counters")));
    channel.runPendingTasks();
    channel.releaseOutbound();
  }

  private static String received(EmbeddedChannel channel) {
    ByteBuf out = channel.readOutbound();
    return out == null ? "" : TestMessages.messageTypes(TestMessages.readAndRelease(out));
  }

  private long openChannels() {
    return channels.stream().filter(EmbeddedChannel::isOpen).count();
  }

  @Test
  void newestIsRefusedOnceAllThatArrivedIsRead() {
    connect(MAX_CLIENTS);
    EmbeddedChannel newest = connect();
    assertEquals(MAX_CLIENTS + 1, openChannels(), "clients may have sent what is not read yet");
    loop.advanceBy(1);
    assertFalse(newest.isOpen());
    assertEquals("E(53300)", received(newest));
    assertEquals(MAX_CLIENTS, openChannels());
    assertEquals(1, loop.counters.get(Counter.CLIENTS_REFUSED));
    assertEquals(0, loop.counters.get(Counter.CLIENTS_EVICTED));
  }

  @Test
  void connectionWithoutFirstRequestIsClosedBeforeAnIdleOne() {
    EmbeddedChannel idle = connect();
    serve(idle);
    connect(MAX_CLIENTS - 1);
    loop.advanceBy(150);
    EmbeddedChannel newest = connect();
    loop.advanceBy(1);
    assertTrue(idle.isOpen());
    assertTrue(newest.isOpen());
    assertFalse(channels.get(1).isOpen(), "the oldest without a request");
    assertEquals(1, loop.counters.get(Counter.CLIENTS_EVICTED_UNANSWERED));
  }

  @Test
  void idleConnectionIsClosedWhereOthersStillHaveTimeForTheirFirstRequest() {
    EmbeddedChannel idle = connect();
    serve(idle);
    loop.advanceBy(99);
    connect(MAX_CLIENTS);
    loop.advanceBy(1);
    assertFalse(idle.isOpen());
    assertEquals(MAX_CLIENTS, openChannels());
    assertEquals(1, loop.counters.get(Counter.CLIENTS_EVICTED));
    assertEquals(0, loop.counters.get(Counter.CLIENTS_EVICTED_UNANSWERED));
  }

  @Test
  void connectionAboveTheMarginIsRefusedAtOnceUnlessOneCanBeClosed() {
    connect(MAX_CLIENTS + ACCEPT_MARGIN);
    assertEquals(0, loop.counters.get(Counter.CLIENTS_REFUSED));
    EmbeddedChannel refused = connect();
    assertFalse(refused.isOpen());
    assertEquals("E(53300)", received(refused));
    assertEquals(1, loop.counters.get(Counter.CLIENTS_REFUSED));
    assertEquals(MAX_CLIENTS + ACCEPT_MARGIN, openChannels());
  }

  @Test
  void connectionsAreRefusedWhileTheServerDrains() {
    server.drain();
    EmbeddedChannel refused = connect();
    assertFalse(refused.isOpen());
    assertEquals("E(57P03)", received(refused));
    assertEquals(1, loop.counters.get(Counter.CLIENTS_REFUSED));
    assertEquals(0, loop.counters.get(Counter.CLIENTS_ACCEPTED));
  }
}
