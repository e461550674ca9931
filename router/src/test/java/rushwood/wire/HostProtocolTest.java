package rushwood.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import rushwood.dispatch.BackendConnection;
import rushwood.dispatch.BackendResponse;

class HostProtocolTest {
  private static final byte[] TOLD =
      Bytes.join(
          Bytes.parameter("part", "replica"),
          Bytes.parameter("caught_up_to", "1767225600123"),
          Bytes.parameter("gauges", "x0=1767225600.5,x1=1,queue=3"),
          Bytes.ready());

  /** A connection that has come up and been asked, unless told otherwise. */
  private static final class Host implements BackendConnection.Listener {
    final HostProtocol protocol = new HostProtocol(Bytes.ALLOCATOR, this);
    final List<String> events = new ArrayList<>();
    BackendResponse answer;
    byte[] row;
    boolean usable = true;

    @Override
    public void connected() {
      events.add("opened");
    }

    @Override
    public void responseReceived(BackendResponse told, boolean again) {
      events.add(told.outcome() + (again ? " again" : ""));
      answer = told;
      row = told.row() == null ? null : Bytes.take(told.row());
    }

    @Override
    public void connectionLost(boolean accepted) {
      events.add("broken");
    }

    Host feed(byte[]... parts) {
      return feed(List.of(Bytes.buffer(Bytes.join(parts))));
    }

    Host feed(List<ByteBuf> parts) {
      for (ByteBuf part : parts) {
        if (usable) {
          usable = protocol.feed(part) && protocol.settle();
        } else {
          part.release();
        }
      }
      if (!usable) {
        protocol.ended(true);
      }
      return this;
    }
  }

  private static Host asked(boolean probe) {
    Host host = new Host().feed(Bytes.welcome());
    assertEquals(List.of("opened"), host.events);
    host.events.clear();
    host.protocol.asked(probe);
    return host;
  }

  @AfterEach
  void released() {
    Bytes.allReleased();
  }

  /**
   * The outcome of what a host writes, however it is cut; a connection that ends after it if not
   * usable.
   */
  private static void check(String expected, byte[]... written) {
    Bytes.everyWay(
        Bytes.join(written),
        pieces -> {
          Host host = asked(false).feed(pieces);
          assertEquals(List.of(expected), host.events);
          host.protocol.closed();
        });
  }

  @Test
  void rowIsPassedOnToTheByte() {
    byte[] row = Bytes.row("value");
    Bytes.everyWay(
        Bytes.join(row, TOLD),
        pieces -> {
          Host host = asked(false).feed(pieces);
          assertEquals(List.of("FULFILLED again"), host.events);
          assertArrayEquals(row, host.row);
          assertEquals(Boolean.FALSE, host.answer.primary());
          assertEquals(1767225600123_000_000L, host.answer.position());
          assertEquals(1767225600.5e9, host.answer.report().position());
          assertEquals(Boolean.TRUE, host.answer.report().primary());
        });
  }

  @Test
  void outcomeTable() {
    check("BEHIND again", Bytes.error("25006"), TOLD);
    check("BEHIND again", Bytes.error("72000"), TOLD);
    check("ERROR again", Bytes.error("XX000"), TOLD);
    check("ERROR again", Bytes.error("08P01"), Bytes.ready());
    check("OVERFULL again", Bytes.error("53300"), Bytes.ready());
  }

  @Test
  void whatIsNoAnswerBreaksTheConnection() {
    check("SPOILT", Bytes.ready());
    check("FULFILLED", Bytes.row("v"), Bytes.row("v"));
    check("SPOILT", Bytes.message('D', new byte[] {0, 1, 0, 0, 0, 0}));
    check("SPOILT", Bytes.message('T', new byte[] {0, 2}));
    check("SPOILT", Bytes.message('S', new byte[] {'a'}));
    check("SPOILT", Bytes.message('E', "SERROR\0C53300\0".getBytes()));
    check("SPOILT", Bytes.message('E', "SERROR\0C!\0\0".getBytes()));
    check("SPOILT", Bytes.welcome());
  }

  /** Told at the head of a message: the rest of it may never come. */
  @Test
  void whatCannotBeReadIsToldAtOnce() {
    check("SPOILT", new byte[] {'?'});
    check("SPOILT", new byte[] {'D', (byte) 0xb2, -48, 94, 0});
    check("SPOILT", new byte[] {'Z', 0, 0, 0, 6});
    check("FULFILLED", Bytes.row("v"), new byte[] {'Z', 0, 0, 0, 4});
  }

  /** Hosts hold values far above those that clients may write. */
  @Test
  void largeValues() {
    Host host = asked(false).feed(Bytes.row("v".repeat(600_000)), Bytes.ready());
    assertEquals(List.of("FULFILLED again"), host.events);
  }

  /** Lengths within a row that do not fit it, to the byte. */
  @Test
  void lengthsThatDoNotFit() {
    byte[] row = Bytes.row("value");
    for (int at : new int[] {4, 6, 33, 35, 39, 49}) {
      for (int by : new int[] {1, 2, 127}) {
        byte[] spoilt = row.clone();
        spoilt[at] += by;
        Host host = asked(false).feed(spoilt, Bytes.ready());
        assertTrue(host.row == null, "passed on with byte " + at + " spoilt");
        host.protocol.closed();
      }
    }
  }

  @Test
  void endsInMidRow() {
    byte[] row = Bytes.row("value");
    for (int cut = 0; cut < row.length; cut++) {
      Host host = asked(false).feed(Arrays.copyOf(row, cut));
      host.protocol.ended(true);
      assertEquals(List.of("broken"), host.events);
    }
  }

  @Test
  void anEndAfterAWholeAnswerTakesNothingBack() {
    Host whole = asked(false).feed(Bytes.row("v"));
    whole.protocol.ended(true);
    assertEquals(List.of("FULFILLED"), whole.events);
    Host error = asked(false).feed(Bytes.error("53300"));
    error.protocol.ended(true);
    assertEquals(List.of("OVERFULL"), error.events);
  }

  @Test
  void openingRefused() {
    Host full = new Host().feed(Bytes.error("53300"));
    assertEquals(List.of("OVERFULL"), full.events);
    Host down = new Host().feed(Bytes.error("57P03"));
    assertEquals(List.of("UNREACHED"), down.events);
    Host password = new Host().feed(Bytes.message('R', new byte[] {0, 0, 0, 3}));
    assertEquals(List.of("broken"), password.events);
  }

  @Test
  void anAnswerNobodyAskedForBreaksTheConnection() {
    Host host = asked(false).feed(Bytes.row("v"), Bytes.ready());
    host.feed(Bytes.row("w"));
    assertEquals(List.of("FULFILLED again", "broken"), host.events);
  }

  /** A second copy or noise in the same read never becomes the answer to the next statement. */
  @Test
  void surplusEndsTheUseOfAConnection() {
    for (byte[] surplus : List.of(Bytes.row("v"), new byte[] {0}, Bytes.ready())) {
      Host host = asked(false).feed(Bytes.row("v"), TOLD, surplus);
      assertEquals(List.of("FULFILLED"), host.events);
      assertEquals(Boolean.FALSE, host.answer.primary());
    }
    Host half = asked(false).feed(Bytes.row("v"), TOLD);
    half.feed(new byte[] {'S', 0});
    assertEquals(false, half.protocol.usable());
    half.protocol.closed();
  }

  @Test
  void oneUseTellsNothingOfTheNext() {
    Host host = asked(false).feed(Bytes.row("v"), TOLD);
    host.protocol.asked(false);
    host.feed(Bytes.row("w"), Bytes.ready());
    assertNull(host.answer.primary());
    assertEquals(-1, host.answer.position());
    assertEquals(true, Double.isNaN(host.answer.report().position()));
  }

  @Test
  void probeTellsTheReport() {
    Host host = asked(true).feed(Bytes.row("x0=12.5,x1=0"), Bytes.ready());
    assertEquals(List.of("FULFILLED again"), host.events);
    assertEquals(12.5e9, host.answer.report().position());
    assertEquals(Boolean.FALSE, host.answer.report().primary());
    Host bad = asked(true).feed(Bytes.row("x0=,x1,=,;x0=1e999"), Bytes.ready());
    assertEquals(true, Double.isNaN(bad.answer.report().position()));
    Host cut =
        asked(true)
            .feed(
                Bytes.message('T', new byte[] {0, 1}),
                Bytes.message('D', new byte[] {0, 1, 0, 0, 1, 0}));
    assertEquals(List.of("SPOILT"), cut.events);
  }

  @Test
  void closedByUsNothingIsTold() {
    Host host = asked(false).feed(Bytes.row("v"));
    host.protocol.closed();
    host.protocol.ended(true);
    assertEquals(List.of(), host.events);
  }
}
