package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rushwood.dispatch.FakeEventLoop.NANOS_PER_MILLI;

import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushwood.api.AttemptOutcome;
import rushwood.api.HostId;

/**
 * Tests the decisions of the gate. Whether it is called at the right times is tested through the
 * dispatcher.
 */
class WriteGateTest {
  private static final HostId HOST = new HostId("a");
  private static final long DRAIN_GRACE_NANOS = 2_000 * NANOS_PER_MILLI;

  private final FakeEventLoop loop = new FakeEventLoop();
  private final WriteGate gate =
      new WriteGate(loop.clock, loop.timers, loop.counters, DRAIN_GRACE_NANOS);
  private final EndpointPool endpoint =
      new EndpointPool(HOST, new InetSocketAddress("127.0.0.1", 1));

  private static final class TestExchange extends Exchange {
    TestExchange(long writeDeadline) {
      super(HOST, writeDeadline);
    }

    @Override
    ByteBuf encodeStatement(long now) {
      throw new UnsupportedOperationException();
    }

    @Override
    boolean isHealthCheck() {
      return false;
    }

    @Override
    void onCompleted(BackendResponse response) {}
  }

  private static Exchange exchangeToWriteBefore(long millis) {
    return new TestExchange(millis * NANOS_PER_MILLI);
  }

  @Test
  void withholdsExchangesStartedOnDrainingHost() {
    assertEquals(WriteGate.Decision.WRITE, gate.decideAtStart(endpoint));
    endpoint.startDraining();
    assertEquals(WriteGate.Decision.WITHHOLD, gate.decideAtStart(endpoint));
    endpoint.update(endpoint.address(), true);
    assertEquals(WriteGate.Decision.WRITE, gate.decideAtStart(endpoint), "listed as ready again");
  }

  @Test
  void withholdsExchangesFromWriteDeadlineOn() {
    Exchange exchange = exchangeToWriteBefore(30);
    loop.advanceTo(29);
    assertEquals(WriteGate.Decision.WRITE, gate.decideWhenReady(exchange));
    loop.advanceTo(30);
    assertEquals(WriteGate.Decision.WITHHOLD, gate.decideWhenReady(exchange));
    assertEquals(WriteGate.Decision.WITHHOLD, gate.decideAfterDeferral(exchange));
  }

  @Test
  void defersOnceAfterPauseLongerThanFiftyMillis() {
    Exchange exchange = exchangeToWriteBefore(1_000);
    loop.pause(50);
    assertEquals(WriteGate.Decision.WRITE, gate.decideWhenReady(exchange));
    loop.pause(51);
    assertEquals(WriteGate.Decision.DEFER, gate.decideWhenReady(exchange));
    assertEquals(WriteGate.Decision.WRITE, gate.decideAfterDeferral(exchange));
  }

  /** A gap between two turns of up to 40 ms is not a pause, whatever the drain grace. */
  @Test
  void defersAfterPauseLongerThanQuarterOfShortDrainGrace() {
    WriteGate gateOfShortGrace =
        new WriteGate(loop.clock, loop.timers, loop.counters, 180 * NANOS_PER_MILLI);
    Exchange exchange = exchangeToWriteBefore(1_000);
    loop.pause(45);
    assertEquals(WriteGate.Decision.WRITE, gateOfShortGrace.decideWhenReady(exchange));
    loop.pause(46);
    assertEquals(WriteGate.Decision.DEFER, gateOfShortGrace.decideWhenReady(exchange));
  }

  @Test
  void countsWithheldAndDeferredExchanges() {
    List<String> written = new ArrayList<>();
    loop.clock.now();
    gate.defer(() -> written.add("deferred"));
    assertEquals(List.of(), written);
    loop.advanceBy(1);
    assertEquals(List.of("deferred"), written);
    assertEquals(AttemptOutcome.NOT_SENT, gate.withhold().outcome());
    assertEquals(1, loop.counters.get(Counter.ATTEMPTS_DEFERRED));
    assertEquals(1, loop.counters.get(Counter.ATTEMPTS_WITHHELD));
  }
}
