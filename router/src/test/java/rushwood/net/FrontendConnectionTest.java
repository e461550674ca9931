package rushwood.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rushwood.api.RequestId;
import rushwood.dispatch.Counter;
import rushwood.dispatch.FakeEventLoop;
import rushwood.dispatch.RequestDispatcher;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.ConnectionState;
import rushwood.overload.DescriptorBudget;
import rushwood.protocol.ClientMemory;
import rushwood.protocol.StatementMemory;
import rushwood.protocol.StatementMemoryFixture;
import rushwood.protocol.TestMessages;

/**
 * Tests the limits on what a client may send and how long it may take, and the connection states
 * reported to connection admission.
 */
class FrontendConnectionTest {
  private static final int LONG_MESSAGE_BYTES = 128 << 10;
  private static final int CANCEL_REQUEST_CODE = 80877102;
  private static final int MAX_DESCRIPTORS = 10;
  private static final long RETRY_AFTER_NANOS = 200 * FakeEventLoop.NANOS_PER_MILLI;

  private final FakeEventLoop loop = new FakeEventLoop();
  private final ConnectionAdmission admission =
      new ConnectionAdmission(MAX_DESCRIPTORS, RETRY_AFTER_NANOS);
  private final DescriptorBudget descriptors = new DescriptorBudget(MAX_DESCRIPTORS);
  private final ClientMemory clientMemory = new ClientMemory();
  private final StatementMemory memory = clientMemory.statements();
  private final ConnectionRegistry registry =
      new ConnectionRegistry(admission, descriptors, new SplittableRandom(1));
  private final PendingPolicy policy = new PendingPolicy();
  private final LingeringConnections lingering = new LingeringConnections(loop.clock);
  private final RequestDispatcher dispatcher =
      FrontendFixture.createDispatcher(loop, descriptors, policy);
  private final FrontendContext context =
      new FrontendContext(loop.clock, loop.counters, registry, lingering, clientMemory);
  private final List<EmbeddedChannel> channels = new ArrayList<>();
  private EmbeddedChannel channel;
  private FrontendConnection connection;

  @BeforeEach
  void connect() {
    channel = new EmbeddedChannel();
    channels.add(channel);
    RequestSubmitter submitter =
        new RequestSubmitter(
            dispatcher,
            TestMessages.REQUEST_CLASSES,
            admission,
            new RejectionThrottle(loop.clock, loop.timers));
    connection = new FrontendConnection(channel, context, submitter);
    channel.pipeline().addLast(connection);
  }

  @AfterEach
  void assertAllResourcesReleased() {
    channel.close();
    assertEquals(0, registry.size());
    assertEquals(0, admission.openConnections());
    assertEquals(0, memory.usedBytes());
    channels.forEach(EmbeddedChannel::releaseOutbound);
    assertEquals(0, clientMemory.output().usedBytes());
    TestMessages.assertAllReleased();
  }

  private void send(byte[]... messages) {
    channel.writeInbound(TestMessages.buffer(TestMessages.concat(messages)));
  }

  private void sendRequest(String id) {
    send(request(id));
  }

  private static byte[] request(String id) {
    return TestMessages.query(TestMessages.readStatement(id, ",d=480"));
  }

  private void fail(String id) {
    policy.actions.fail(new RequestId(id));
    channel.runPendingTasks();
  }

  /** Returns the types of the messages that were sent to the client since the last call. */
  private String takeReceivedTypes() {
    StringBuilder types = new StringBuilder();
    for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
      String written = TestMessages.messageTypes(TestMessages.readAndRelease(out));
      types.append(types.isEmpty() || written.isEmpty() ? "" : " ").append(written);
    }
    return types.toString();
  }

  private void startSession() {
    send(TestMessages.startup());
    takeReceivedTypes();
  }

  private void assertOnlyState(ConnectionState expected) {
    for (ConnectionState state : ConnectionState.values()) {
      assertEquals(state == expected ? 1 : 0, admission.openConnections(state), state.name());
    }
  }

  /** No client waits for the answer any more, so the statement must not be sent to a host. */
  @Test
  void statementIsDroppedIfTheConnectionIsClosedBehindIt() {
    startSession();
    channel.pipeline().fireChannelRead(TestMessages.buffer(request("a")));
    channel.pipeline().close();
    channel.runPendingTasks();
    assertEquals(0, loop.counters.get(Counter.REQUESTS_RECEIVED));
  }

  /**
   * Uses up the time for reading in this turn, and reads a request behind which the socket holds
   * more input.
   */
  private void readRequestWithInputBehind(String id) {
    context.readBudget().hasTime();
    loop.stall(15);
    var handle = channel.config().getRecvByteBufAllocator().newHandle();
    handle.reset(channel.config());
    handle.attemptedBytesRead(1);
    handle.lastBytesRead(1);
    handle.incMessagesRead(1);
    assertFalse(handle.continueReading());
    channel.pipeline().fireChannelRead(TestMessages.buffer(request(id)));
    channel.runPendingTasks();
    assertEquals(0, loop.counters.get(Counter.REQUESTS_RECEIVED), "a disconnect may follow");
  }

  /** Its time counts from when it was read, not from when it is processed. */
  @Test
  void statementWaitsUntilTheInputBehindItWasRead() {
    startSession();
    for (int i = 0; i < 5; i++) {
      loop.advanceBy(10);
      loop.clock.now();
    }
    loop.advanceBy(10);
    readRequestWithInputBehind("a");
    loop.advanceBy(20);
    channel.runPendingTasks();
    assertEquals(1, loop.counters.get(Counter.REQUESTS_RECEIVED));
    assertEquals((60 + 480) * FakeEventLoop.NANOS_PER_MILLI, policy.latestRequest.deadline());
  }

  /** Guards against a statement that begins although its client has disconnected. */
  @Test
  void statementIsDroppedIfTheRestOfTheInputEndsWithADisconnect() {
    startSession();
    readRequestWithInputBehind("a");
    loop.advanceBy(20);
    channel.pipeline().close();
    channel.runPendingTasks();
    assertEquals(0, loop.counters.get(Counter.REQUESTS_RECEIVED));
  }

  @Test
  void connectionStateIsReportedToAdmission() {
    assertOnlyState(ConnectionState.NEW);
    startSession();
    assertOnlyState(ConnectionState.NEW);
    sendRequest("a");
    assertOnlyState(ConnectionState.BUSY);
    policy.actions.reject(new RequestId("a"), RETRY_AFTER_NANOS);
    assertOnlyState(ConnectionState.AWAITING_RETRY);
    sendRequest("b");
    assertOnlyState(ConnectionState.BUSY);
    policy.actions.reject(new RequestId("b"), 0);
    assertOnlyState(ConnectionState.IDLE);
  }

  @Test
  void evictionBeforeTheFirstAnswerIsCountedSeparately() {
    startSession();
    connection.evict();
    assertEquals(1, loop.counters.get(Counter.CLIENTS_EVICTED_UNANSWERED));
    connect();
    startSession();
    send(TestMessages.query("SHOW counters"));
    connection.evict();
    assertEquals(1, loop.counters.get(Counter.CLIENTS_EVICTED_UNANSWERED));
    assertEquals(2, loop.counters.get(Counter.CLIENTS_EVICTED));
  }

  /** Guards against input that is read and dropped: each statement has to be answered. */
  @Test
  void pipelinedStatementsBeyondTheClientsShareAreRejectedInTheirTurn() {
    startSession();
    sendRequest("a");
    int longWrites = 60; // 7.9 MB, of which 5.3 MB are this client's share
    for (int i = 0; i < longWrites; i++) {
      send(longWrite("w" + i));
    }
    sendRequest("b");
    assertTrue(memory.usedBytes() <= StatementMemoryFixture.MAX_MESSAGE_BYTES / 3);
    fail("a");
    int served = 0;
    while (dispatcher.isRequestIdInUse(new RequestId("w" + served))) {
      fail("w" + served);
      served++;
    }
    assertTrue(served >= 38, () -> "of the long writes were served");
    String rejected = "E(53300) Z ".repeat(longWrites - served);
    assertEquals("E(58000) Z ".repeat(1 + served) + rejected.strip(), takeReceivedTypes());
    fail("b");
    assertEquals("E(58000) Z", takeReceivedTypes());
    assertEquals(0, loop.counters.get(Counter.CLIENTS_REFUSED));
    assertTrue(channel.isOpen());
  }

  /** Returns a write of the longest value. */
  private static byte[] longWrite(String id) {
    String statement = TestMessages.writeStatement(id, ",d=480");
    return TestMessages.query(statement.replace("9f03", "9f".repeat(64 << 10)));
  }

  @Test
  void requestIsRejectedWhileMemoryIsExhausted() {
    startSession();
    List<ByteBuf> others = StatementMemoryFixture.fillUp(memory, 1);
    sendRequest("a");
    assertEquals("E(53300) Z", takeReceivedTypes());
    StatementMemoryFixture.release(others);
    sendRequest("a");
    assertEquals("", takeReceivedTypes(), "the request is pending");
    assertEquals(0, loop.counters.get(Counter.CLIENTS_REFUSED));
  }

  /** A client whose message found no room must not make the router hold any of it. */
  @Test
  void longMessageIsSkippedAndRefusedWhileMemoryIsExhausted() {
    startSession();
    List<ByteBuf> others = StatementMemoryFixture.fillUp(memory, LONG_MESSAGE_BYTES / 2);
    final long usedByOthers = memory.usedBytes();
    byte[] message = longWrite("w");
    send(Arrays.copyOf(message, LONG_MESSAGE_BYTES));
    assertEquals(usedByOthers, memory.usedBytes());
    send(Arrays.copyOfRange(message, LONG_MESSAGE_BYTES, message.length), request("a"));
    assertEquals("E(53300) Z", takeReceivedTypes());
    assertEquals(1, loop.counters.get(Counter.REQUESTS_RECEIVED), "the request behind it");
    assertTrue(memory.usedBytes() - usedByOthers <= 1024, "bytes held for the request");
    StatementMemoryFixture.release(others);
  }

  /**
   * Hundreds of clients stop in the middle of a long statement: the memory stays bounded, the
   * requests of other clients are served meanwhile, and each of those clients gets an error.
   */
  @Test
  void clientsThatStopInTheMiddleOfLongStatementsLeaveRoomForOthers() {
    List<EmbeddedChannel> stopped = new ArrayList<>();
    List<FrontendConnection> stoppedConnections = new ArrayList<>();
    channel.close();
    for (int i = 0; i < 360; i++) {
      connect();
      startSession();
      send(Arrays.copyOf(longWrite("b" + i), i % 2 == 0 ? LONG_MESSAGE_BYTES : 65_000));
      stopped.add(channel);
      stoppedConnections.add(connection);
    }
    assertTrue(memory.usedBytes() <= StatementMemoryFixture.MAX_MESSAGE_BYTES);
    connect();
    startSession();
    sendRequest("a");
    assertEquals(1, loop.counters.get(Counter.REQUESTS_RECEIVED));
    fail("a");
    takeReceivedTypes();
    loop.advanceBy(200);
    for (int i = 0; i < 12; i++) {
      send(longWrite("w" + i));
    }
    for (int i = 0; i < 12; i++) {
      assertEquals(i + 2, loop.counters.get(Counter.REQUESTS_RECEIVED), "long writes are served");
      fail("w" + i);
    }
    assertEquals("E(58000) Z ".repeat(12).strip(), takeReceivedTypes());
    loop.advanceBy(2300);
    for (int i = 0; i < 360; i++) {
      stoppedConnections.get(i).checkTimeouts();
      channel.close();
      channel = stopped.get(i);
      assertEquals("E(08P01)", takeReceivedTypes());
    }
  }

  @Test
  void incompleteMessageTimesOut() {
    startSession();
    loop.advanceBy(10_000);
    send(new byte[] {'Q'});
    loop.advanceBy(2399);
    connection.checkTimeouts();
    assertEquals("", takeReceivedTypes());
    loop.advanceBy(1);
    connection.checkTimeouts();
    assertEquals("E(08P01)", takeReceivedTypes());
    assertEquals(1, loop.counters.get(Counter.CLIENTS_TIMED_OUT));
  }

  @Test
  void inputIsPausedAfterRepeatedRejections() {
    startSession();
    byte[] invalid = TestMessages.query("SELECT 1");
    for (int i = 0; i < 4; i++) {
      send(invalid);
      assertEquals("E(42601) Z", takeReceivedTypes());
    }
    sendRequest("a");
    assertEquals(0, loop.counters.get(Counter.REQUESTS_RECEIVED));
    loop.advanceBy(50);
    channel.runPendingTasks();
    assertEquals(1, loop.counters.get(Counter.REQUESTS_RECEIVED));
  }

  @Test
  void cancelKeyCancelsOnlyTheRequestOfItsConnection() {
    startSession();
    sendRequest("a");
    EmbeddedChannel cancelledChannel = channel;
    FrontendConnection cancelled = connection;
    connect();
    assertNotEquals(cancelled.cancelKey(), connection.cancelKey());
    sendCancelRequest(cancelled.cancelKey() + 1);
    assertEquals(0, loop.counters.get(Counter.REQUESTS_CANCELLED));
    connect();
    sendCancelRequest(cancelled.cancelKey());
    assertEquals(1, loop.counters.get(Counter.REQUESTS_CANCELLED));
    channel = cancelledChannel;
    assertEquals("E(57014) Z", takeReceivedTypes());
  }

  private void sendCancelRequest(long key) {
    send(
        TestMessages.bytesWrittenBy(
            out -> out.writeInt(16).writeInt(CANCEL_REQUEST_CODE).writeLong(key)));
    assertFalse(channel.isOpen());
  }
}
