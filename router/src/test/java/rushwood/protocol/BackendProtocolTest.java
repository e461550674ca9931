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
  private static final byte[] STATUS_AND_READY =
      TestMessages.concat(
          TestMessages.parameterStatus("part", "replica"),
          TestMessages.parameterStatus("caught_up_to", "1767225600123"),
          TestMessages.parameterStatus("gauges", "x0=1767225600.5,x1=1,queue=3"),
          TestMessages.readyForQuery());

  /** Records what the protocol reports of a connection. */
  private static final class TestBackend implements BackendConnection.Listener {
    final BackendProtocol protocol = new BackendProtocol(TestMessages.ALLOCATOR, this);
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

    TestBackend feed(byte[]... parts) {
      return feed(List.of(TestMessages.buffer(TestMessages.concat(parts))));
    }

    TestBackend feed(List<ByteBuf> parts) {
      for (ByteBuf part : parts) {
        if (usable) {
          usable = protocol.feed(part) && protocol.completeRead();
        } else {
          part.release();
        }
      }
      if (!usable) {
        protocol.connectionLost(true);
      }
      return this;
    }
  }

  /** A connection on which a statement was sent. */
  private static TestBackend statementSent(boolean isHealthCheck) {
    TestBackend backend = new TestBackend().feed(TestMessages.startupResponse());
    assertEquals(List.of("connected"), backend.events);
    backend.events.clear();
    backend.protocol.beginStatement(isHealthCheck);
    return backend;
  }

  @AfterEach
  void allBuffersAreReleased() {
    TestMessages.assertAllReleased();
  }

  /** Checks what is reported of a host's answer, however its bytes are cut. */
  private static void check(String expected, byte[]... written) {
    TestMessages.forEachFragmentation(
        TestMessages.concat(written),
        pieces -> {
          TestBackend backend = statementSent(false).feed(pieces);
          assertEquals(List.of(expected), backend.events);
          backend.protocol.close();
        });
  }

  @Test
  void rowIsPassedOnUnchanged() {
    byte[] row = TestMessages.rowResponse("value");
    TestMessages.forEachFragmentation(
        TestMessages.concat(row, STATUS_AND_READY),
        pieces -> {
          TestBackend backend = statementSent(false).feed(pieces);
          assertEquals(List.of("SUCCESS reusable"), backend.events);
          assertArrayEquals(row, backend.row);
          assertEquals(HostRole.REPLICA, backend.response.role());
          assertEquals(1767225600123_000_000L, backend.response.position());
          assertEquals(1767225600.5e9, backend.response.report().position());
          assertEquals(HostRole.PRIMARY, backend.response.report().role());
        });
  }

  @Test
  void errorsAreToldApartBySqlState() {
    check("REPLICA_LAGGING reusable", TestMessages.errorResponse("25006"), STATUS_AND_READY);
    check("REPLICA_LAGGING reusable", TestMessages.errorResponse("72000"), STATUS_AND_READY);
    check("ERROR reusable", TestMessages.errorResponse("XX000"), STATUS_AND_READY);
    check("ERROR reusable", TestMessages.errorResponse("08P01"), TestMessages.readyForQuery());
    check("OVERLOADED reusable", TestMessages.errorResponse("53300"), TestMessages.readyForQuery());
  }

  @Test
  void malformedAnswersEndTheConnection() {
    check("MALFORMED", TestMessages.readyForQuery());
    check("SUCCESS", TestMessages.rowResponse("v"), TestMessages.rowResponse("v"));
    check("MALFORMED", TestMessages.message('D', new byte[] {0, 1, 0, 0, 0, 0}));
    check("MALFORMED", TestMessages.message('T', new byte[] {0, 2}));
    check("MALFORMED", TestMessages.message('S', new byte[] {'a'}));
    check(
        "MALFORMED",
        TestMessages.message('E', "SERROR\0C53300\0".getBytes(StandardCharsets.US_ASCII)));
    check(
        "MALFORMED",
        TestMessages.message('E', "SERROR\0C!\0\0".getBytes(StandardCharsets.US_ASCII)));
    check("MALFORMED", TestMessages.startupResponse());
  }

  /** Found at the head of a message, as the rest of it may never arrive. */
  @Test
  void malformedHeadsAreReportedAtOnce() {
    check("MALFORMED", new byte[] {'?'});
    check("MALFORMED", new byte[] {'D', (byte) 0xb2, -48, 94, 0});
    check("MALFORMED", new byte[] {'Z', 0, 0, 0, 6});
    check("SUCCESS", TestMessages.rowResponse("v"), new byte[] {'Z', 0, 0, 0, 4});
  }

  /** Hosts hold values far above those that clients may write. */
  @Test
  void largeValuesAreRead() {
    TestBackend backend =
        statementSent(false)
            .feed(TestMessages.rowResponse("v".repeat(600_000)), TestMessages.readyForQuery());
    assertEquals(List.of("SUCCESS reusable"), backend.events);
  }

  @Test
  void rowsWithWrongLengthsAreNotPassedOn() {
    byte[] row = TestMessages.rowResponse("value");
    for (int at : new int[] {4, 6, 33, 35, 39, 49}) {
      for (int by : new int[] {1, 2, 127}) {
        byte[] malformed = row.clone();
        malformed[at] = (byte) (row[at] + by);
        TestBackend backend = statementSent(false).feed(malformed, TestMessages.readyForQuery());
        assertTrue(backend.row == null, "passed on with byte " + at + " changed");
        backend.protocol.close();
      }
    }
  }

  @Test
  void connectionLostWithinARow() {
    byte[] row = TestMessages.rowResponse("value");
    for (int cut = 0; cut < row.length; cut++) {
      TestBackend backend = statementSent(false).feed(Arrays.copyOf(row, cut));
      backend.protocol.connectionLost(true);
      assertEquals(List.of("connection lost"), backend.events);
    }
  }

  @Test
  void completeAnswerCountsWithoutReadyForQuery() {
    TestBackend whole = statementSent(false).feed(TestMessages.rowResponse("v"));
    whole.protocol.connectionLost(true);
    assertEquals(List.of("SUCCESS"), whole.events);
    TestBackend error = statementSent(false).feed(TestMessages.errorResponse("53300"));
    error.protocol.connectionLost(true);
    assertEquals(List.of("OVERLOADED"), error.events);
  }

  @Test
  void refusedConnections() {
    TestBackend full = new TestBackend().feed(TestMessages.errorResponse("53300"));
    assertEquals(List.of("OVERLOADED"), full.events);
    TestBackend down = new TestBackend().feed(TestMessages.errorResponse("57P03"));
    assertEquals(List.of("CONNECT_FAILED"), down.events);
    TestBackend password =
        new TestBackend().feed(TestMessages.message('R', new byte[] {0, 0, 0, 3}));
    assertEquals(List.of("connection lost"), password.events);
  }

  @Test
  void unrequestedAnswerEndsTheConnection() {
    TestBackend backend =
        statementSent(false).feed(TestMessages.rowResponse("v"), TestMessages.readyForQuery());
    backend.feed(TestMessages.rowResponse("w"));
    assertEquals(List.of("SUCCESS reusable", "connection lost"), backend.events);
  }

  /** Data behind an answer in the same read never becomes the answer to the next statement. */
  @Test
  void connectionWithExcessDataIsNotReused() {
    for (byte[] excess :
        List.of(TestMessages.rowResponse("v"), new byte[] {0}, TestMessages.readyForQuery())) {
      TestBackend backend =
          statementSent(false).feed(TestMessages.rowResponse("v"), STATUS_AND_READY, excess);
      assertEquals(List.of("SUCCESS"), backend.events);
      assertEquals(HostRole.REPLICA, backend.response.role());
    }
    TestBackend half = statementSent(false).feed(TestMessages.rowResponse("v"), STATUS_AND_READY);
    half.feed(new byte[] {'S', 0});
    assertEquals(false, half.protocol.isUsable());
    half.protocol.close();
  }

  @Test
  void statusOfAnAnswerDoesNotCountForTheNext() {
    TestBackend backend =
        statementSent(false).feed(TestMessages.rowResponse("v"), STATUS_AND_READY);
    backend.protocol.beginStatement(false);
    backend.feed(TestMessages.rowResponse("w"), TestMessages.readyForQuery());
    assertEquals(HostRole.UNKNOWN, backend.response.role());
    assertEquals(-1, backend.response.position());
    assertFalse(backend.response.report().hasPosition());
  }

  @Test
  void rowOfAHealthCheckIsALoadReport() {
    TestBackend backend =
        statementSent(true)
            .feed(TestMessages.rowResponse("x0=12.5,x1=0"), TestMessages.readyForQuery());
    assertEquals(List.of("SUCCESS reusable"), backend.events);
    assertEquals(12.5e9, backend.response.report().position());
    assertEquals(HostRole.REPLICA, backend.response.report().role());
    TestBackend bad =
        statementSent(true)
            .feed(TestMessages.rowResponse("x0=,x1,=,;x0=1e999"), TestMessages.readyForQuery());
    assertFalse(bad.response.report().hasPosition());
    TestBackend cut =
        statementSent(true)
            .feed(
                TestMessages.message('T', new byte[] {0, 1}),
                TestMessages.message('D', new byte[] {0, 1, 0, 0, 1, 0}));
    assertEquals(List.of("MALFORMED"), cut.events);
  }

  @Test
  void nothingIsReportedAfterClose() {
    TestBackend backend = statementSent(false).feed(TestMessages.rowResponse("v"));
    backend.protocol.close();
    backend.protocol.connectionLost(true);
    assertEquals(List.of(), backend.events);
  }
}
