package rushwood.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class FrontendProtocolTest {
  private static final String STARTUP_RESPONSE = "R S S S S S K Z";
  private static final long NOW = 0;
  private static final String READ = TestMessages.readStatement("a", ",d=480");

  /**
   * The connection of a client. Records the calls and the output of the protocol, and responds to
   * requests immediately if {@link #respondsImmediately} is set.
   */
  private static final class TestConnection implements FrontendCallbacks {
    final ByteBuf out = TestMessages.ALLOCATOR.heapBuffer();
    final List<String> submitted = new ArrayList<>();
    final ClientMemory memory = new ClientMemory();
    final FrontendProtocol protocol = new FrontendProtocol(memory, this);
    boolean ready = true;
    boolean respondsImmediately = true;
    boolean closed;
    boolean terminated;
    long cancelledKey;
    boolean retryAfterAnnounced;
    boolean resumeRequested;
    int rejectedRequests;

    @Override
    public boolean isReady() {
      return ready;
    }

    @Override
    public void submit(ByteBuf text) throws ProtocolException {
      SqlStatementParser.parse(text, TestMessages.REQUEST_CLASSES).release();
      submitted.add(text.toString(StandardCharsets.UTF_8));
      if (respondsImmediately) {
        protocol.sendResult(TestMessages.buffer(TestMessages.rowResponse("v")));
      }
    }

    @Override
    public int writeCounters(ByteBuf rows) {
      MessageWriter.writeDataRow(rows, "one", "1");
      return 1;
    }

    @Override
    public void statementRejected(ProtocolException cause) {}

    @Override
    public void requestRejected() {
      rejectedRequests++;
    }

    @Override
    public void write(ByteBuf written) {
      out.writeBytes(written);
      written.release();
    }

    @Override
    public void retryAfterAnnounced() {
      retryAfterAnnounced = true;
    }

    @Override
    public void close() {
      closed = true;
    }

    @Override
    public long cancelKey() {
      return 0x100000002L;
    }

    @Override
    public void cancelRequest(long key) {
      cancelledKey = key;
    }

    @Override
    public void clientTerminated() {
      terminated = true;
    }

    @Override
    public void resumeLater() {
      resumeRequested = true;
    }

    /** Feeds each fragment in a read of its own. */
    TestConnection feed(List<ByteBuf> fragments) {
      for (ByteBuf fragment : fragments) {
        if (closed) {
          fragment.release(); // as FrontendConnection does
        } else {
          protocol.buffer(fragment, NOW);
          protocol.resume();
          runScheduledResumes();
        }
      }
      return this;
    }

    /** Feeds the messages in one read. */
    TestConnection feed(byte[]... messages) {
      return feed(List.of(TestMessages.buffer(TestMessages.concat(messages))));
    }

    void runScheduledResumes() {
      while (resumeRequested && !closed) {
        resumeRequested = false;
        protocol.resume();
      }
    }

    /** Returns the types of the messages that were written since the last call. */
    String takeWrittenTypes() {
      byte[] bytes = new byte[out.readableBytes()];
      out.readBytes(bytes);
      return TestMessages.messageTypes(bytes);
    }

    void end() {
      protocol.connectionClosed();
      assertEquals(0, memory.usedBytes());
    }
  }

  @AfterEach
  void assertAllBuffersReleased() {
    TestMessages.assertAllReleased();
  }

  /** Asserts the types of the messages written for the input, in any fragmentation. */
  private static void assertWritten(String expectedTypes, boolean expectClosed, byte[]... input) {
    TestMessages.forEachFragmentation(
        TestMessages.concat(input),
        fragments -> {
          TestConnection connection = new TestConnection().feed(fragments);
          assertEquals(expectedTypes, connection.takeWrittenTypes());
          assertEquals(expectClosed, connection.closed);
          connection.end();
        });
  }

  @Test
  void queriesAreServedAfterStartup() {
    assertWritten(
        STARTUP_RESPONSE + " T D C Z I Z T D C Z",
        false,
        TestMessages.startup(),
        TestMessages.query(READ),
        TestMessages.query(" ; "),
        TestMessages.query(READ));
  }

  @Test
  void startupContinuesAfterEncryptionIsRefused() {
    byte[] sslRequest = TestMessages.startup(80877103, "");
    TestMessages.forEachFragmentation(
        TestMessages.concat(sslRequest, TestMessages.startup()),
        fragments -> {
          TestConnection connection = new TestConnection().feed(fragments);
          assertEquals('N', connection.out.readByte());
          assertEquals(STARTUP_RESPONSE, connection.takeWrittenTypes());
          connection.end();
        });
  }

  @Test
  void cancelRequestIsPassedOnWithoutAResponse() {
    byte[] cancelRequest = TestMessages.startup(80877102, "12345678");
    assertWritten("", true, cancelRequest);
    TestConnection connection = new TestConnection().feed(cancelRequest);
    assertEquals(0x3132333435363738L, connection.cancelledKey);
  }

  @Test
  void terminateBehindAPendingRequestClosesTheConnection() {
    TestConnection connection = new TestConnection();
    connection.respondsImmediately = false;
    connection.feed(TestMessages.startup(), TestMessages.query(READ));
    assertEquals(false, connection.terminated);
    connection.feed(TestMessages.query(READ), TestMessages.message('X', new byte[0]));
    assertTrue(connection.terminated);
    assertTrue(connection.closed);
    assertEquals(List.of(READ), connection.submitted);
  }

  @Test
  void onlyProtocolVersion3IsSupported() {
    assertWritten("E(0A000)", true, TestMessages.startup(2 << 16, "\0"));
    assertWritten(
        "v " + STARTUP_RESPONSE,
        false,
        TestMessages.startup(MessageWriter.PROTOCOL_VERSION + 2, "user\0client\0\0"));
  }

  @Test
  void malformedStartupMessagesCloseTheConnection() {
    assertWritten("E(08P01)", true, new byte[] {0, 0, 0, 5, 0});
    assertWritten("E(08P01)", true, "GET / HTTP/1.1\r\n".getBytes(StandardCharsets.US_ASCII));
  }

  @Test
  void extendedQueriesAreSkippedUpToTheNextSync() {
    assertWritten(
        STARTUP_RESPONSE + " E(0A000) Z T D C Z",
        false,
        TestMessages.startup(),
        TestMessages.message('P', new byte[9]),
        TestMessages.message('B', new byte[9]),
        TestMessages.message('E', new byte[9]),
        TestMessages.message('H', new byte[0]),
        TestMessages.query("SELECT 1"),
        TestMessages.message('S', new byte[0]),
        TestMessages.query(READ));
  }

  @Test
  void malformedMessagesCloseTheConnection() {
    assertWritten(
        STARTUP_RESPONSE + " E(08P01)", true, TestMessages.startup(), new byte[] {'Q', 0, 0, 0, 3});
    assertWritten(
        STARTUP_RESPONSE + " E(08P01)",
        true,
        TestMessages.startup(),
        new byte[] {'Q', 127, 0, 0, 0});
    assertWritten(
        STARTUP_RESPONSE + " E(08P01)",
        true,
        TestMessages.startup(),
        TestMessages.message('?', new byte[0]));
    assertWritten(
        STARTUP_RESPONSE,
        true,
        TestMessages.startup(),
        TestMessages.message('X', new byte[0]),
        TestMessages.query(READ));
  }

  @Test
  void rejectedStatementsAreNotSubmitted() {
    for (String statement :
        List.of("SELECT 1", "DROP TABLE state", "SELECT val /* id=1", READ + " x")) {
      TestConnection connection =
          new TestConnection()
              .feed(
                  TestMessages.startup(), TestMessages.query(statement), TestMessages.query(READ));
      assertEquals(STARTUP_RESPONSE + " E(42601) Z T D C Z", connection.takeWrittenTypes());
      assertEquals(List.of(READ), connection.submitted);
    }
    assertWritten(
        STARTUP_RESPONSE + " E(08P01) Z",
        false,
        TestMessages.startup(),
        TestMessages.message('Q', new byte[] {'S'}));
  }

  @Test
  void emptyQueryFailsUntilTheRouterIsReady() {
    TestConnection connection = new TestConnection();
    connection.ready = false;
    assertEquals(
        STARTUP_RESPONSE + " E(57P03) Z",
        connection.feed(TestMessages.startup(), TestMessages.query("")).takeWrittenTypes());
    connection.ready = true;
    assertEquals("I Z", connection.feed(TestMessages.query("")).takeWrittenTypes());
  }

  @Test
  void showCountersIsAnsweredLocally() {
    assertWritten(
        STARTUP_RESPONSE + " T D C Z",
        false,
        TestMessages.startup(),
        TestMessages.query("show counters;"));
  }

  /** A request is submitted after the previous response, and gets exactly one response. */
  @Test
  void eachRequestGetsOneResponseInOrder() {
    TestConnection connection = new TestConnection();
    connection.respondsImmediately = false;
    connection.feed(
        TestMessages.startup(),
        TestMessages.query(READ),
        TestMessages.query(READ),
        TestMessages.query(READ));
    assertEquals(STARTUP_RESPONSE, connection.takeWrittenTypes());
    assertEquals(1, connection.submitted.size());
    connection.protocol.sendRejection(250_000_000);
    assertEquals("E(53300) Z", connection.takeWrittenTypes());
    connection.protocol.sendFailure();
    assertEquals("", connection.takeWrittenTypes(), "a second response to the same request");
    connection.runScheduledResumes();
    assertEquals(2, connection.submitted.size());
    connection.protocol.sendFailure();
    connection.runScheduledResumes();
    assertEquals("E(58000) Z", connection.takeWrittenTypes());
    connection.end();
    connection.protocol.sendResult(TestMessages.buffer(TestMessages.rowResponse("v")));
    assertEquals("", connection.takeWrittenTypes(), "a response after the connection was closed");
  }

  @Test
  void retryAfterIsTheDetailFieldOfARejection() {
    TestConnection connection = new TestConnection();
    connection.respondsImmediately = false;
    connection.feed(TestMessages.startup(), TestMessages.query(READ));
    connection.protocol.sendRejection(250_000_000);
    assertTrue(connection.out.toString(StandardCharsets.UTF_8).contains("D250\0"));
    assertTrue(connection.retryAfterAnnounced);
    connection.end();
  }

  @Test
  void drainingClosesOnlyIdleConnections() {
    TestConnection idle = new TestConnection().feed(TestMessages.startup());
    idle.protocol.drain();
    assertTrue(idle.closed);
    TestConnection busy = new TestConnection();
    busy.respondsImmediately = false;
    byte[] second = TestMessages.query(READ);
    busy.feed(TestMessages.startup(), TestMessages.query(READ), Arrays.copyOf(second, 9));
    busy.protocol.drain();
    busy.protocol.sendFailure();
    busy.runScheduledResumes();
    assertEquals(false, busy.closed, "closed with a partially received request");
    busy.feed(Arrays.copyOfRange(second, 9, second.length));
    busy.protocol.sendFailure();
    busy.runScheduledResumes();
    assertTrue(busy.closed);
    assertEquals(STARTUP_RESPONSE + " E(58000) Z E(58000) Z", busy.takeWrittenTypes());
  }

  /** Output for pipelined input must not pile up faster than the client can be sent it. */
  @Test
  void pipelinedInputIsProcessedInBatchesOfOutput() {
    TestConnection connection = new TestConnection().feed(TestMessages.startup());
    connection.takeWrittenTypes();
    int queryCount = 10_000;
    byte[][] queries = new byte[queryCount][];
    Arrays.fill(queries, TestMessages.query("SHOW counters"));
    connection.protocol.buffer(TestMessages.buffer(TestMessages.concat(queries)), NOW);
    connection.protocol.resume();
    assertTrue(connection.resumeRequested);
    assertTrue(connection.out.readableBytes() < 32 << 10, "output of one call");
    connection.runScheduledResumes();
    String served = "T D C Z ";
    assertEquals(served.repeat(queryCount).strip(), connection.takeWrittenTypes());
    connection.end();
  }

  /**
   * At shutdown, requests behind a pending one were lost because nothing counted or answered them.
   */
  @Test
  void queuedRequestsAreRejectedInOneCallBehindThePendingOne() {
    TestConnection connection = new TestConnection();
    connection.respondsImmediately = false;
    byte[] longQuery = TestMessages.query("x".repeat(MessageLimits.maxClientMessageBytes('Q') / 2));
    connection.feed(
        TestMessages.startup(),
        TestMessages.query(READ),
        TestMessages.query(READ),
        TestMessages.query("unsound"),
        longQuery,
        TestMessages.query(""),
        TestMessages.query(READ),
        Arrays.copyOf(longQuery, 9));
    connection.takeWrittenTypes();
    assertEquals(5, connection.protocol.queuedRequests());
    connection.protocol.rejectRequests();
    connection.protocol.resume();
    assertEquals("", connection.takeWrittenTypes(), "the pending request may still be served");
    connection.protocol.sendResult(TestMessages.buffer(TestMessages.rowResponse("v")));
    connection.protocol.resume();
    String rejected = " E(53300) Z";
    assertEquals("T D C Z" + rejected.repeat(3) + " I Z" + rejected, connection.takeWrittenTypes());
    assertEquals(0, connection.protocol.queuedRequests());
    assertEquals(1, connection.submitted.size());
    connection.feed(Arrays.copyOfRange(longQuery, 9, longQuery.length));
    assertEquals("E(53300) Z", connection.takeWrittenTypes(), "a request that arrived later");
    assertEquals(5, connection.rejectedRequests);
    connection.end();
    assertEquals(0, connection.protocol.queuedRequests());
  }
}
