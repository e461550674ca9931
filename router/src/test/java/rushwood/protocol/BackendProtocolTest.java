package rushwood.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import rushwood.api.HostRole;
import rushwood.dispatch.BackendConnection;
import rushwood.dispatch.BackendResponse;

class BackendProtocolTest {
  private static final byte[] PARAMETERS_AND_READY =
      TestMessages.concat(
          TestMessages.parameterStatus("part", "replica"),
          TestMessages.parameterStatus("caught_up_to", "1767225600123"),
          TestMessages.parameterStatus("gauges", "x0=1767225600.5,x1=1,queue=3"),
          TestMessages.readyForQuery());

  /** A connection to a host. Records the events that the protocol reports. */
  private static final class TestBackend implements BackendConnection.Listener {
    final BackendProtocol protocol =
        new BackendProtocol(TestMessages.ALLOCATOR, new ResponseMemory(), this, () -> {});
    final List<String> events = new ArrayList<>();
    BackendResponse response;
    byte[] row;
    boolean usable = true;

    @Override
    public void connected() {
      events.add("connected");
    }

    @Override
    public void responseReceived(BackendResponse received, boolean reusable) {
      events.add(received.outcome() + (reusable ? " reusable" : ""));
      response = received;
      row = received.row() == null ? null : TestMessages.readAndRelease(received.row());
    }

    @Override
    public void connectionLost(boolean accepted) {
      events.add("connection lost");
    }

    /** Feeds the messages in one read. */
    TestBackend feed(byte[]... messages) {
      return feed(List.of(TestMessages.buffer(TestMessages.concat(messages))));
    }

    /** Feeds each fragment in a read of its own. */
    TestBackend feed(List<ByteBuf> fragments) {
      for (ByteBuf fragment : fragments) {
        if (usable) {
          usable = protocol.feed(fragment) && protocol.completeRead();
        } else {
          fragment.release();
        }
      }
      if (!usable) {
        protocol.connectionLost(true);
      }
      return this;
    }
  }

  /** Returns a connection on which a statement was sent. */
  private static TestBackend backendWithPendingStatement(boolean isHealthCheck) {
    TestBackend backend = new TestBackend().feed(TestMessages.startupResponse());
    assertEquals(List.of("connected"), backend.events);
    backend.events.clear();
    backend.protocol.beginStatement(isHealthCheck);
    return backend;
  }

  @AfterEach
  void assertAllBuffersReleased() {
    TestMessages.assertAllReleased();
  }

  /** Asserts the only event that is reported for the input, in any fragmentation. */
  private static void assertReported(String expected, byte[]... input) {
    TestMessages.forEachFragmentation(
        TestMessages.concat(input),
        fragments -> {
          TestBackend backend = backendWithPendingStatement(false).feed(fragments);
          assertEquals(List.of(expected), backend.events);
          backend.protocol.close();
        });
  }

  @Test
  void rowIsPassedOnUnchanged() {
    byte[] row = TestMessages.rowResponse("value");
    TestMessages.forEachFragmentation(
        TestMessages.concat(row, PARAMETERS_AND_READY),
        fragments -> {
          TestBackend backend = backendWithPendingStatement(false).feed(fragments);
          assertEquals(List.of("SUCCESS reusable"), backend.events);
          assertArrayEquals(row, backend.row);
          assertEquals(HostRole.REPLICA, backend.response.role());
          assertEquals(1767225600123_000_000L, backend.response.position());
          assertEquals(1767225600.5e9, backend.response.report().position());
          assertEquals(HostRole.PRIMARY, backend.response.report().role());
        });
  }

  @Test
  void outcomeOfAnErrorDependsOnItsSqlState() {
    assertReported(
        "REPLICA_LAGGING reusable", TestMessages.errorResponse("25006"), PARAMETERS_AND_READY);
    assertReported(
        "REPLICA_LAGGING reusable", TestMessages.errorResponse("72000"), PARAMETERS_AND_READY);
    assertReported("ERROR reusable", TestMessages.errorResponse("XX000"), PARAMETERS_AND_READY);
    assertReported(
        "ERROR reusable", TestMessages.errorResponse("08P01"), TestMessages.readyForQuery());
    assertReported(
        "OVERLOADED reusable", TestMessages.errorResponse("53300"), TestMessages.readyForQuery());
  }

  @Test
  void malformedResponsesCloseTheConnection() {
    assertReported("MALFORMED", TestMessages.readyForQuery());
    assertReported("SUCCESS", TestMessages.rowResponse("v"), TestMessages.rowResponse("v"));
    assertReported("MALFORMED", TestMessages.message('D', new byte[] {0, 1, 0, 0, 0, 0}));
    assertReported("MALFORMED", TestMessages.message('T', new byte[] {0, 2}));
    assertReported("MALFORMED", TestMessages.message('S', new byte[] {'a'}));
    assertReported(
        "MALFORMED",
        TestMessages.message('E', "SERROR\0C53300\0".getBytes(StandardCharsets.US_ASCII)));
    assertReported(
        "MALFORMED",
        TestMessages.message('E', "SERROR\0C!\0\0".getBytes(StandardCharsets.US_ASCII)));
    assertReported("MALFORMED", TestMessages.startupResponse());
  }

  /** The rest of a message with a malformed header may never arrive. */
  @Test
  void malformedHeadersAreDetectedBeforeTheBodyArrives() {
    assertReported("MALFORMED", new byte[] {'?'});
    assertReported("MALFORMED", new byte[] {'D', (byte) 0xb2, -48, 94, 0});
    assertReported("MALFORMED", new byte[] {'Z', 0, 0, 0, 6});
    assertReported("SUCCESS", TestMessages.rowResponse("v"), new byte[] {'Z', 0, 0, 0, 4});
  }

  /** Hosts can return larger values than the router lets clients write. */
  @Test
  void largeValuesAreRead() {
    TestBackend backend =
        backendWithPendingStatement(false)
            .feed(TestMessages.rowResponse("v".repeat(600_000)), TestMessages.readyForQuery());
    assertEquals(List.of("SUCCESS reusable"), backend.events);
  }

  @Test
  void rowsWithWrongLengthsAreNotPassedOn() {
    byte[] row = TestMessages.rowResponse("value");
    for (int offset : new int[] {4, 6, 33, 35, 39, 49}) {
      for (int delta : new int[] {1, 2, 127}) {
        byte[] malformed = row.clone();
        malformed[offset] = (byte) (row[offset] + delta);
        TestBackend backend =
            backendWithPendingStatement(false).feed(malformed, TestMessages.readyForQuery());
        assertTrue(backend.row == null, "passed on with byte " + offset + " changed");
        backend.protocol.close();
      }
    }
  }

  @Test
  void connectionLostBeforeTheRowIsComplete() {
    byte[] row = TestMessages.rowResponse("value");
    for (int length = 0; length < row.length; length++) {
      TestBackend backend = backendWithPendingStatement(false).feed(Arrays.copyOf(row, length));
      backend.protocol.connectionLost(true);
      assertEquals(List.of("connection lost"), backend.events);
    }
  }

  @Test
  void completeResponseIsReportedWithoutReadyForQuery() {
    TestBackend row = backendWithPendingStatement(false).feed(TestMessages.rowResponse("v"));
    row.protocol.connectionLost(true);
    assertEquals(List.of("SUCCESS"), row.events);
    TestBackend error =
        backendWithPendingStatement(false).feed(TestMessages.errorResponse("53300"));
    error.protocol.connectionLost(true);
    assertEquals(List.of("OVERLOADED"), error.events);
  }

  @Test
  void refusedConnectionsAreReported() {
    TestBackend full = new TestBackend().feed(TestMessages.errorResponse("53300"));
    assertEquals(List.of("OVERLOADED"), full.events);
    TestBackend down = new TestBackend().feed(TestMessages.errorResponse("57P03"));
    assertEquals(List.of("CONNECT_FAILED"), down.events);
    TestBackend password =
        new TestBackend().feed(TestMessages.message('R', new byte[] {0, 0, 0, 3}));
    assertEquals(List.of("connection lost"), password.events);
  }

  @Test
  void unsolicitedResponseClosesTheConnection() {
    TestBackend backend =
        backendWithPendingStatement(false)
            .feed(TestMessages.rowResponse("v"), TestMessages.readyForQuery());
    backend.feed(TestMessages.rowResponse("w"));
    assertEquals(List.of("SUCCESS reusable", "connection lost"), backend.events);
  }

  /** Data that follows a response must not become the response to the next statement. */
  @Test
  void connectionWithExcessDataIsNotReused() {
    for (byte[] excess :
        List.of(TestMessages.rowResponse("v"), new byte[] {0}, TestMessages.readyForQuery())) {
      TestBackend backend =
          backendWithPendingStatement(false)
              .feed(TestMessages.rowResponse("v"), PARAMETERS_AND_READY, excess);
      assertEquals(List.of("SUCCESS"), backend.events);
      assertEquals(HostRole.REPLICA, backend.response.role());
    }
    TestBackend backend =
        backendWithPendingStatement(false)
            .feed(TestMessages.rowResponse("v"), PARAMETERS_AND_READY);
    backend.feed(new byte[] {'S', 0});
    assertEquals(false, backend.protocol.isUsable());
    backend.protocol.close();
  }

  @Test
  void parametersApplyOnlyToTheirResponse() {
    TestBackend backend =
        backendWithPendingStatement(false)
            .feed(TestMessages.rowResponse("v"), PARAMETERS_AND_READY);
    backend.protocol.beginStatement(false);
    backend.feed(TestMessages.rowResponse("w"), TestMessages.readyForQuery());
    assertEquals(HostRole.UNKNOWN, backend.response.role());
    assertEquals(-1, backend.response.position());
    assertFalse(backend.response.report().hasPosition());
  }

  @Test
  void rowOfAHealthCheckIsALoadReport() {
    TestBackend backend =
        backendWithPendingStatement(true)
            .feed(TestMessages.rowResponse("x0=12.5,x1=0"), TestMessages.readyForQuery());
    assertEquals(List.of("SUCCESS reusable"), backend.events);
    assertEquals(12.5e9, backend.response.report().position());
    assertEquals(HostRole.REPLICA, backend.response.report().role());
    TestBackend malformed =
        backendWithPendingStatement(true)
            .feed(TestMessages.rowResponse("x0=,x1,=,;x0=1e999"), TestMessages.readyForQuery());
    assertFalse(malformed.response.report().hasPosition());
    TestBackend truncated =
        backendWithPendingStatement(true)
            .feed(
                TestMessages.message('T', new byte[] {0, 1}),
                TestMessages.message('D', new byte[] {0, 1, 0, 0, 1, 0}));
    assertEquals(List.of("MALFORMED"), truncated.events);
  }

  @Test
  void nothingIsReportedAfterClose() {
    TestBackend backend = backendWithPendingStatement(false).feed(TestMessages.rowResponse("v"));
    backend.protocol.close();
    backend.protocol.connectionLost(true);
    assertEquals(List.of(), backend.events);
  }
}
