package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.protocol.TestMessages.messageTypes;
import static rushwood.protocol.TestMessages.query;
import static rushwood.server.Statements.SERVED;
import static rushwood.server.Statements.largeWrite;
import static rushwood.server.Statements.read;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import rushwood.dispatch.Counter;

/**
 * Clients that together make the router hold more than its direct memory, which is that of `run`.
 */
class DirectMemoryLimitTest {
  private static final int MAX_VALUE_BYTES = 64 << 10;

  /** A router must end a connection that does not complete its request within this time. */
  private static final long MAX_BAD_CLIENT_MILLIS = 3000;

  /** The timeout of the reads, and half a second in which a late answer is not yet lost. */
  private static final long MAX_ANSWER_MILLIS = 900 + 500;

  @RegisterExtension
  final RouterProcessFixture router = RouterProcessFixture.startedWithSockets(1024);

  /**
   * Guards against a router that hangs because clients that stopped in the middle of long
   * statements have used up its direct memory.
   */
  @Test
  void clientsThatStopInsideLongStatementsHarmNobody() throws Exception {
    byte[] statement = query(largeWrite("stopped", MAX_VALUE_BYTES));
    byte[] nearlyWhole = Arrays.copyOf(statement, statement.length - 100);
    byte[] firstHalf = Arrays.copyOf(statement, statement.length / 2 - 100);
    ExecutorService stoppingClients = Executors.newCachedThreadPool();
    List<Future<Long>> ends = new ArrayList<>();
    try (TestClient usual = router.connect()) {
      long startedAt = System.nanoTime();
      for (int i = 0; i < 360; i++) {
        byte[] part = i < 150 ? nearlyWhole : firstHalf;
        ends.add(stoppingClients.submit(() -> stopAfter(part)));
      }
      for (int i = 0; elapsedMillis(startedAt) < MAX_BAD_CLIENT_MILLIS; i++) {
        long sentAt = System.nanoTime();
        assertEquals(SERVED, usual.query(read("r" + i)));
        assertTrue(elapsedMillis(sentAt) < MAX_ANSWER_MILLIS, "a read took too long");
      }
      assertEquals(SERVED, usual.query(largeWrite("w", MAX_VALUE_BYTES)), "a long statement");
      for (Future<Long> end : ends) {
        assertTrue(end.get() < MAX_BAD_CLIENT_MILLIS, "a client that stopped is closed in time");
      }
      assertEquals(0, usual.readCounters().get(Counter.EXCEPTIONS_CAUGHT));
    } finally {
      stoppingClients.shutdownNow();
    }
  }

  /** Returns the time in milliseconds until the client is sent an error and its session ends. */
  private long stopAfter(byte[] part) throws IOException {
    try (TestClient client = router.connect()) {
      long connectedAt = System.nanoTime();
      client.sendBytes(part);
      assertEquals("E(08P01)", messageTypes(client.readToEnd()));
      return elapsedMillis(connectedAt);
    }
  }

  private static long elapsedMillis(long startNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }
}
