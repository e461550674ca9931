package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import rushwood.api.AttemptOutcome;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.dispatch.BackendConnection;
import rushwood.dispatch.BackendResponse;

/** The host side of the protocol, fed what a host writes. */
public final class BackendProtocol {
  private enum State {
    STARTUP,
    IDLE,
    AWAITING_RESPONSE,
    RESPONSE_COMPLETE,
    CLOSED
  }

  private static final int MAX_ROW_LENGTH =
      1 << 20; // above any value seen, well below what memory holds
  private static final int MAX_TEXT_LENGTH =
      8 << 10; // of an error or a notice, far above what hosts write
  private static final int COLUMN_DESCRIPTION_BYTES = 18; // bytes behind the name of a column

  private static final Pattern SQL_STATE = Pattern.compile("[0-9A-Z]{5}");

  private final ByteBufAllocator allocator;
  private final BackendConnection.Listener events;
  private final MessageReader reader;
  private State state = State.STARTUP;
  private boolean isProbe;
  private CompositeByteBuf row;
  private char lastRowPart;
  private String probeValue;
  private AttemptOutcome outcome;
  private boolean malformed;
  private HostRole role = HostRole.UNKNOWN;
  private long position;
  private LoadReport report;

  public BackendProtocol(ByteBufAllocator allocator, BackendConnection.Listener events) {
    this.allocator = allocator;
    this.events = events;
    reader = new MessageReader(allocator, BackendProtocol::maxLength);
  }

  /**
   * The most a message may claim: what is spoilt is to be told at its head, not when a shot runs
   * out.
   */
  private static int maxLength(int type) {
    return switch (type) {
      case 'Z' -> 5;
      case 'R', 'K' -> 300;
      case 'T', 'C' -> 1 << 10;
      case 'S', 'E', 'N' -> MAX_TEXT_LENGTH;
      case 'D' -> MAX_ROW_LENGTH;
      default -> 0;
    };
  }

  /** A statement is about to be written. */
  public void beginStatement(boolean probe) {
    state = State.AWAITING_RESPONSE;
    isProbe = probe;
    resetResponse();
  }

  private void resetResponse() {
    releaseRow();
    lastRowPart = 0;
    outcome = null;
    role = HostRole.UNKNOWN;
    position = -1;
    report = LoadReport.NONE;
    probeValue = null;
  }

  public boolean isUsable() {
    return state == State.IDLE && reader.unreadBytes() == 0;
  }

  /** Takes the buffer over; false if the connection cannot be used any more and is to be closed. */
  public boolean feed(ByteBuf in) {
    reader.feed(in);
    try {
      for (ByteBuf message = nextMessage(); message != null; message = nextMessage()) {
        handleMessage(message);
      }
      reader.releaseIfEmpty();
      return state != State.CLOSED;
    } catch (ProtocolException violation) {
      malformed = true;
      return false;
    }
  }

  private ByteBuf nextMessage() throws ProtocolException {
    return state == State.CLOSED || state == State.RESPONSE_COMPLETE ? null : reader.nextMessage();
  }

  /**
   * All that had come was fed: an answer that is whole is told only now. What stands behind it
   * belongs to no statement, and would pass for the answer of the next one: such a connection is
   * not used again. False if it is to be closed.
   */
  public boolean completeRead() {
    if (state != State.RESPONSE_COMPLETE) {
      return true;
    }
    boolean surplus = reader.unreadBytes() > 0;
    state = surplus ? State.CLOSED : State.IDLE;
    events.responseReceived(takeResponse(), !surplus);
    return !surplus;
  }

  private void handleMessage(ByteBuf message) throws ProtocolException {
    char type = reader.type();
    switch (type) {
      case 'N', 'K' -> {}
      case 'S' -> handleParameterStatus(message);
      case 'R' -> {
        if (state != State.STARTUP || message.readableBytes() != 4 || message.readInt() != 0) {
          throw ProtocolException.protocolViolation("an unexpected authentication message");
        }
      }
      case 'E' -> handleErrorResponse(message);
      case 'T', 'D', 'C' -> handleRowPart(type, message);
      case 'Z' -> handleReadyForQuery(message);
      default -> throw ProtocolException.protocolViolation("a message of unexpected type");
    }
  }

  /** The row comes as exactly one description, one row of one column and one completion. */
  private void handleRowPart(char type, ByteBuf message) throws ProtocolException {
    boolean inOrder =
        type == 'T' && lastRowPart == 0
            || type == 'D' && lastRowPart == 'T'
            || type == 'C' && lastRowPart == 'D';
    if (state != State.AWAITING_RESPONSE || !inOrder || outcome != null) {
      throw ProtocolException.protocolViolation("a part of a row out of order");
    }
    int bodyStart = message.readerIndex();
    checkLengths(type, message);
    lastRowPart = type;
    if (isProbe) {
      if (type == 'D') {
        probeValue =
            message.toString(
                bodyStart + 6, message.writerIndex() - bodyStart - 6, StandardCharsets.UTF_8);
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
      outcome = AttemptOutcome.SUCCESS;
    }
  }

  /** Counts and lengths fit, to the byte: a client must be able to read what is passed on. */
  private static void checkLengths(char type, ByteBuf message) throws ProtocolException {
    if (type != 'C' && (message.readableBytes() < 6 || message.readShort() != 1)) {
      throw ProtocolException.protocolViolation("a row that has not one column");
    }
    if (type != 'D') {
      readCString(message);
    }
    int remaining =
        switch (type) {
          case 'T' -> COLUMN_DESCRIPTION_BYTES;
          case 'D' -> message.readInt();
          default -> 0;
        };
    if (message.readableBytes() != remaining) {
      throw ProtocolException.protocolViolation("a part of a row whose lengths do not fit");
    }
  }

  private void handleParameterStatus(ByteBuf message) throws ProtocolException {
    String name = readCString(message);
    String value = readCString(message);
    if (message.isReadable()) {
      throw ProtocolException.protocolViolation("a parameter that does not end");
    }
    if (state == State.AWAITING_RESPONSE) {
      switch (name) {
        case "part" ->
            role =
                switch (value) {
                  case "master" -> HostRole.PRIMARY;
                  case "replica" -> HostRole.REPLICA;
                  default -> HostRole.UNKNOWN;
                };
        case "caught_up_to" -> position = LoadReportParser.parsePosition(value);
        case "gauges" -> report = LoadReportParser.parse(value);
        default -> {}
      }
    }
  }

  private static String readCString(ByteBuf message) throws ProtocolException {
    int end = message.indexOf(message.readerIndex(), message.writerIndex(), (byte) 0);
    if (end < 0) {
      throw ProtocolException.protocolViolation("a text without its zero");
    }
    String text =
        message.toString(
            message.readerIndex(), end - message.readerIndex(), StandardCharsets.UTF_8);
    message.readerIndex(end + 1);
    return text;
  }

  private void handleErrorResponse(ByteBuf message) throws ProtocolException {
    String sqlState = "";
    byte field = 1;
    while (message.isReadable() && (field = message.readByte()) != 0) {
      String value = readCString(message);
      sqlState = field == 'C' ? value : sqlState;
    }
    if (field != 0 || message.isReadable() || !SQL_STATE.matcher(sqlState).matches()) {
      throw ProtocolException.protocolViolation(
          "an error that cannot be read"); // it must not prove that nothing ran
    }
    if (state == State.STARTUP) {
      state = State.CLOSED;
      events.responseReceived(
          BackendResponse.withoutRow(
              sqlState.equals("53300") ? AttemptOutcome.OVERLOADED : AttemptOutcome.CONNECT_FAILED),
          false);
    } else if (state == State.AWAITING_RESPONSE && outcome == null) {
      releaseRow();
      outcome =
          switch (sqlState) {
            case "25006", "72000" -> AttemptOutcome.REPLICA_LAGGING;
            case "53300" -> AttemptOutcome.OVERLOADED;
            default -> AttemptOutcome.ERROR;
          };
    } else {
      throw ProtocolException.protocolViolation("an error that answers nothing");
    }
  }

  private void handleReadyForQuery(ByteBuf message) throws ProtocolException {
    if (message.readableBytes() != 1 || message.readByte() != 'I') {
      throw ProtocolException.protocolViolation("ready in no state of ours");
    }
    if (state == State.STARTUP) {
      state = State.IDLE;
      events.connected();
    } else if (state == State.AWAITING_RESPONSE && outcome != null) {
      state = State.RESPONSE_COMPLETE;
    } else {
      throw ProtocolException.protocolViolation("ready without an answer");
    }
  }

  private BackendResponse takeResponse() {
    if (isProbe && probeValue != null) {
      report = LoadReportParser.parse(probeValue);
    }
    ByteBuf completeRow = row;
    row = null;
    return new BackendResponse(outcome, completeRow, role, position, report);
  }

  /**
   * The connection ended or is of no use; an answer that is whole but for what follows it still
   * counts.
   */
  public void connectionLost(boolean accepted) {
    State previous = state;
    state = State.CLOSED;
    reader.close();
    if ((previous == State.AWAITING_RESPONSE || previous == State.RESPONSE_COMPLETE)
        && outcome != null) {
      events.responseReceived(takeResponse(), false);
    } else if (previous == State.AWAITING_RESPONSE && malformed) {
      releaseRow();
      events.responseReceived(BackendResponse.withoutRow(AttemptOutcome.MALFORMED), false);
    } else if (previous != State.CLOSED) {
      releaseRow();
      events.connectionLost(accepted);
    }
  }

  /** Closed by us: nothing more is told. */
  public void close() {
    state = State.CLOSED;
    reader.close();
    releaseRow();
  }

  private void releaseRow() {
    if (row != null) {
      row.release();
      row = null;
    }
  }
}
