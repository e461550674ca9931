package rushwood.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import rushwood.api.AttemptOutcome;
import rushwood.api.LoadReport;
import rushwood.dispatch.BackendConnection;
import rushwood.dispatch.BackendResponse;

/** The host side of the protocol, fed what a host writes. */
final class HostProtocol {
  private enum State {
    OPENING,
    IDLE,
    ASKED,
    ANSWERED,
    ENDED
  }

  private static final int LONGEST_ROW =
      1 << 20; // above any value seen, well below what memory holds
  private static final int LONGEST_TEXT =
      8 << 10; // of an error or a notice, far above what hosts write
  private static final int COLUMN = 18; // bytes behind the name of a column

  private static final Pattern CODE = Pattern.compile("[0-9A-Z]{5}");

  private final ByteBufAllocator allocator;
  private final BackendConnection.Listener events;
  private final Frames frames;
  private State state = State.OPENING;
  private boolean probing;
  private CompositeByteBuf row;
  private char last;
  private String value;
  private AttemptOutcome end;
  private boolean spoilt;
  private Boolean primary;
  private long position;
  private LoadReport report;

  HostProtocol(ByteBufAllocator allocator, BackendConnection.Listener events) {
    this.allocator = allocator;
    this.events = events;
    frames = new Frames(allocator, HostProtocol::longest);
  }

  /**
   * The most a message may claim: what is spoilt is to be told at its head, not when a shot runs
   * out.
   */
  private static int longest(int type) {
    return switch (type) {
      case 'Z' -> 5;
      case 'R', 'K' -> 300;
      case 'T', 'C' -> 1 << 10;
      case 'S', 'E', 'N' -> LONGEST_TEXT;
      case 'D' -> LONGEST_ROW;
      default -> 0;
    };
  }

  /** A statement is about to be written. */
  void asked(boolean probe) {
    state = State.ASKED;
    probing = probe;
    begin();
  }

  private void begin() {
    dropRow();
    last = 0;
    end = null;
    primary = null;
    position = -1;
    report = LoadReport.NONE;
    value = null;
  }

  boolean usable() {
    return state == State.IDLE && frames.waiting() == 0;
  }

  /** Takes the buffer over; false if the connection cannot be used any more and is to be closed. */
  boolean feed(ByteBuf in) {
    frames.feed(in);
    try {
      for (ByteBuf message = next(); message != null; message = next()) {
        take(message);
      }
      frames.trim();
      return state != State.ENDED;
    } catch (Fault fault) {
      spoilt = true;
      return false;
    }
  }

  private ByteBuf next() throws Fault {
    return state == State.ENDED || state == State.ANSWERED ? null : frames.typed();
  }

  /**
   * All that had come was fed: an answer that is whole is told only now. What stands behind it
   * belongs to no statement, and would pass for the answer of the next one: such a connection is
   * not used again. False if it is to be closed.
   */
  boolean settle() {
    if (state != State.ANSWERED) {
      return true;
    }
    boolean surplus = frames.waiting() > 0;
    state = surplus ? State.ENDED : State.IDLE;
    events.responseReceived(answer(), !surplus);
    return !surplus;
  }

  private void take(ByteBuf message) throws Fault {
    char type = frames.type();
    switch (type) {
      case 'N', 'K' -> {}
      case 'S' -> parameter(message);
      case 'R' -> {
        if (state != State.OPENING || message.readableBytes() != 4 || message.readInt() != 0) {
          throw Fault.lost("an unexpected authentication message");
        }
      }
      case 'E' -> error(message);
      case 'T', 'D', 'C' -> rowPart(type, message);
      case 'Z' -> ready(message);
      default -> throw Fault.lost("a message of unexpected type");
    }
  }

  /** The row comes as exactly one description, one row of one column and one completion. */
  private void rowPart(char type, ByteBuf message) throws Fault {
    boolean inOrder =
        type == 'T' && last == 0 || type == 'D' && last == 'T' || type == 'C' && last == 'D';
    if (state != State.ASKED || !inOrder || end != null) {
      throw Fault.lost("a part of a row out of order");
    }
    int from = message.readerIndex();
    check(type, message);
    last = type;
    if (probing) {
      if (type == 'D') {
        value =
            message.toString(from + 6, message.writerIndex() - from - 6, StandardCharsets.UTF_8);
      }
    } else {
      if (row == null) {
        row = allocator.compositeBuffer(3);
      }
      // With its type and length, which stand before what the slice shows.
      message.readerIndex(0);
      row.addComponent(true, message.retainedSlice());
    }
    if (type == 'C') {
      end = AttemptOutcome.SUCCESS;
    }
  }

  /** Counts and lengths fit, to the byte: a client must be able to read what is passed on. */
  private static void check(char type, ByteBuf message) throws Fault {
    if (type != 'C' && (message.readableBytes() < 6 || message.readShort() != 1)) {
      throw Fault.lost("a row that has not one column");
    }
    if (type != 'D') {
      text(message);
    }
    int rest =
        switch (type) {
          case 'T' -> COLUMN;
          case 'D' -> message.readInt();
          default -> 0;
        };
    if (message.readableBytes() != rest) {
      throw Fault.lost("a part of a row whose lengths do not fit");
    }
  }

  private void parameter(ByteBuf message) throws Fault {
    String name = text(message);
    String is = text(message);
    if (message.isReadable()) {
      throw Fault.lost("a parameter that does not end");
    }
    if (state == State.ASKED) {
      switch (name) {
        case "part" ->
            primary =
                is.equals("master") ? Boolean.TRUE : is.equals("replica") ? Boolean.FALSE : null;
        case "caught_up_to" -> position = Gauges.position(is);
        case "gauges" -> report = Gauges.read(is);
        default -> {}
      }
    }
  }

  private static String text(ByteBuf message) throws Fault {
    int end = message.indexOf(message.readerIndex(), message.writerIndex(), (byte) 0);
    if (end < 0) {
      throw Fault.lost("a text without its zero");
    }
    String text =
        message.toString(
            message.readerIndex(), end - message.readerIndex(), StandardCharsets.UTF_8);
    message.readerIndex(end + 1);
    return text;
  }

  private void error(ByteBuf message) throws Fault {
    String code = "";
    byte field = 1;
    while (message.isReadable() && (field = message.readByte()) != 0) {
      String is = text(message);
      code = field == 'C' ? is : code;
    }
    if (field != 0 || message.isReadable() || !CODE.matcher(code).matches()) {
      throw Fault.lost("an error that cannot be read"); // it must not prove that nothing ran
    }
    if (state == State.OPENING) {
      state = State.ENDED;
      events.responseReceived(
          BackendResponse.withoutRow(
              code.equals("53300") ? AttemptOutcome.OVERLOADED : AttemptOutcome.CONNECT_FAILED),
          false);
    } else if (state == State.ASKED && end == null) {
      dropRow();
      end =
          switch (code) {
            case "25006", "72000" -> AttemptOutcome.REPLICA_LAGGING;
            case "53300" -> AttemptOutcome.OVERLOADED;
            default -> AttemptOutcome.ERROR;
          };
    } else {
      throw Fault.lost("an error that answers nothing");
    }
  }

  private void ready(ByteBuf message) throws Fault {
    if (message.readableBytes() != 1 || message.readByte() != 'I') {
      throw Fault.lost("ready in no state of ours");
    }
    if (state == State.OPENING) {
      state = State.IDLE;
      events.connected();
    } else if (state == State.ASKED && end != null) {
      state = State.ANSWERED;
    } else {
      throw Fault.lost("ready without an answer");
    }
  }

  private BackendResponse answer() {
    if (probing && value != null) {
      report = Gauges.read(value);
    }
    ByteBuf whole = row;
    row = null;
    return new BackendResponse(end, whole, primary, position, report);
  }

  /**
   * The connection ended or is of no use; an answer that is whole but for what follows it still
   * counts.
   */
  void ended(boolean accepted) {
    State was = state;
    state = State.ENDED;
    frames.close();
    if ((was == State.ASKED || was == State.ANSWERED) && end != null) {
      events.responseReceived(answer(), false);
    } else if (was == State.ASKED && spoilt) {
      dropRow();
      events.responseReceived(BackendResponse.withoutRow(AttemptOutcome.MALFORMED), false);
    } else if (was != State.ENDED) {
      dropRow();
      events.connectionLost(accepted);
    }
  }

  /** Closed by us: nothing more is told. */
  void closed() {
    state = State.ENDED;
    frames.close();
    dropRow();
  }

  private void dropRow() {
    if (row != null) {
      row.release();
      row = null;
    }
  }
}
