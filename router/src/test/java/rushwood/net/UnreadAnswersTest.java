package rushwood.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import rushwood.dispatch.Counter;
import rushwood.dispatch.FakeEventLoop;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.DescriptorBudget;
import rushwood.protocol.TestMessages;

/** Many clients that do not read their answers. */
class UnreadAnswersTest {
  private static final int MAX_DESCRIPTORS = 2000;
  private static final int MAX_OUTPUT_BYTES = 8 << 20;

  /** A batch of answers that does not stop below 16 KiB, and the unread statements. */
  private static final int MAX_BYTES_OF_CLIENT = 36 << 10;

  private static final int UNREADING_CLIENTS = 600;
  private static final int STATEMENTS = 50; // with some 100 KB of answers

  private final FakeEventLoop loop = new FakeEventLoop();
  private final DescriptorBudget descriptors = new DescriptorBudget(MAX_DESCRIPTORS);
  private final FrontendServer server =
      FrontendFixture.createServer(
          loop, descriptors, new ConnectionAdmission(MAX_DESCRIPTORS, 0), 0);
  private final List<EmbeddedChannel> channels = new ArrayList<>();

  /** A channel of a client whose receive buffer is full. */
  private static final class UnreadChannel extends EmbeddedChannel {
    UnreadChannel(FrontendServer server) {
      super(server);
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer in) {}
  }

  @AfterEach
  void assertAllResourcesReleased() {
    channels.forEach(EmbeddedChannel::releaseOutbound);
    server.close();
    assertEquals(0, server.clientMemoryBytes());
    TestMessages.assertAllReleased();
  }

  private static void send(EmbeddedChannel channel, byte[]... messages) {
    channel.writeInbound(TestMessages.buffer(TestMessages.concat(messages)));
    channel.runPendingTasks();
  }

  private void connectUnreadingClients() {
    byte[] statements =
        TestMessages.concat(
            Collections.nCopies(STATEMENTS, TestMessages.query("SHOW counters"))
                .toArray(byte[][]::new));
    for (int i = 0; i < UNREADING_CLIENTS; i++) {
      EmbeddedChannel channel = new UnreadChannel(server);
      channels.add(channel);
      send(channel, TestMessages.startup(), statements);
    }
  }

  private EmbeddedChannel connectReadingClient() {
    EmbeddedChannel channel = new EmbeddedChannel(server);
    channels.add(channel);
    send(channel, TestMessages.startup());
    channel.releaseOutbound();
    return channel;
  }

  private static String takeReceivedTypes(EmbeddedChannel channel) {
    return TestMessages.messageTypes(TestMessages.readAndRelease(channel.readOutbound()));
  }

  private static byte[] request(String id) {
    return TestMessages.query(TestMessages.readStatement(id, ",d=480"));
  }

  /** Guards against a router that hangs because unread answers use up its direct memory. */
  @Test
  void unreadAnswersLeaveRoomForOthers() {
    EmbeddedChannel reading = connectReadingClient();
    connectUnreadingClients();
    long heldBytes = server.clientMemoryBytes();
    assertTrue(heldBytes > MAX_OUTPUT_BYTES, () -> heldBytes + " bytes do not suffice as a test");
    assertTrue(heldBytes < UNREADING_CLIENTS * MAX_BYTES_OF_CLIENT, () -> "" + heldBytes);
    send(reading, request("a"));
    assertEquals("E(53300) Z", takeReceivedTypes(reading), "its answer would find no memory");
    loop.advanceBy(200);
    long leftBytes = server.clientMemoryBytes();
    assertTrue(leftBytes <= 9 << 20, () -> leftBytes + " bytes, some of them statements");
    long closed = loop.counters.get(Counter.CLIENTS_NOT_READING);
    assertTrue(closed > 0 && closed < UNREADING_CLIENTS, () -> "closed " + closed);
    send(reading, request("b"));
    assertEquals(1, loop.counters.get(Counter.REQUESTS_RECEIVED));
    send(reading, TestMessages.message('X', new byte[0]));
  }
}
