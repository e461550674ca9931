package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.dispatch.BackendResponse;

/**
 * Collects the response of a host to one statement: a row or an error, and the role, position and
 * load report of the host.
 */
final class ResponseAssembler {
  private static final String ROLE_PARAMETER = "part";
  private static final String POSITION_PARAMETER = "caught_up_to";
  private static final String LOAD_REPORT_PARAMETER = "gauges";

  private static final int MESSAGES_PER_ROW = 3;

  private final ByteBufAllocator allocator;
  private final RowChecker rowChecker = new RowChecker();
  private boolean isHealthCheck;
  private @Nullable CompositeByteBuf row; // owned until it is taken; null before the first message
  private int keptRowBytes; // of the row, those in buffers of the response's own
  private @Nullable String healthCheckValue; // the value in the row of a health check
  private @Nullable AttemptOutcome outcome; // null until the row or an error is complete
  private HostRole role = HostRole.UNKNOWN;
  private long position = AttemptResult.NO_POSITION;
  private LoadReport report = LoadReport.NONE;

  ResponseAssembler(ByteBufAllocator allocator) {
    this.allocator = allocator;
  }

  /**
   * Discards the previous response and prepares for the next one.
   *
   * @param isHealthCheck whether the value of the row is a load report, which is parsed and not
   *     passed on to a client
   */
  void begin(boolean isHealthCheck) {
    release();
    this.isHealthCheck = isHealthCheck;
    rowChecker.begin();
    outcome = null;
    role = HostRole.UNKNOWN;
    position = AttemptResult.NO_POSITION;
    report = LoadReport.NONE;
    healthCheckValue = null;
  }

  /** Returns whether the row or error is complete; parameters and ReadyForQuery may follow. */
  boolean hasOutcome() {
    return outcome != null;
  }

  /** Returns whether a part of a row, or a row that was not taken, is held. */
  boolean hasRow() {
    return row != null;
  }

  /**
   * Adds a message of the row.
   *
   * @param type the type of the message
   * @param message the whole message, whose reader index is at the body; retained unless this is a
   *     health check
   * @throws ProtocolException (fatal) if the message is malformed or out of order, or the row or
   *     error was complete before
   */
  void addRowMessage(char type, ByteBuf message) throws ProtocolException {
    if (hasOutcome()) {
      throw RowChecker.outOfOrder();
    }
    int bodyStart = message.readerIndex();
    rowChecker.checkMessage(type, message);
    if (!isHealthCheck) {
      appendToRow(message);
    } else if (type == BackendMessageType.DATA_ROW) {
      healthCheckValue = RowChecker.columnValue(message, bodyStart);
    }
    if (rowChecker.isComplete()) {
      outcome = AttemptOutcome.SUCCESS;
    }
  }

  private void appendToRow(ByteBuf message) {
    CompositeByteBuf messages = row;
    if (messages == null) {
      messages = allocator.compositeBuffer(MESSAGES_PER_ROW);
      row = messages;
    }
    message.readerIndex(0); // includes type and length, which precede the body
    messages.addComponent(true, message.retainedSlice());
  }

  /**
   * Copies what was added to the row since the last call, so that it does not keep the larger
   * buffers in which it arrived. Called before waiting for more input.
   *
   * @param memory allocates the copy
   */
  void keepRow(ByteBufAllocator memory) {
    CompositeByteBuf messages = row;
    if (messages != null && messages.readableBytes() > keptRowBytes) {
      int length = messages.readableBytes();
      ByteBuf copy = memory.directBuffer(length).writeBytes(messages, 0, length);
      messages.release();
      row = allocator.compositeBuffer(MESSAGES_PER_ROW).addComponent(true, copy);
      keptRowBytes = length;
    }
  }

  /** Sets the outcome for an error, and discards the row if a part of it was read. */
  void addError(String sqlState) {
    release();
    outcome =
        switch (sqlState) {
          case SqlState.READ_ONLY_SQL_TRANSACTION, SqlState.SNAPSHOT_TOO_OLD ->
              AttemptOutcome.REPLICA_LAGGING;
          case SqlState.TOO_MANY_CONNECTIONS -> AttemptOutcome.OVERLOADED;
          default -> AttemptOutcome.ERROR;
        };
  }

  /** Reads the role, position or load report of the host; other parameters are ignored. */
  void addParameter(String name, String value) {
    switch (name) {
      case ROLE_PARAMETER -> role = parseRole(value);
      case POSITION_PARAMETER -> position = LoadReportParser.parsePosition(value);
      case LOAD_REPORT_PARAMETER -> report = LoadReportParser.parse(value);
      default -> {}
    }
  }

  private static HostRole parseRole(String value) {
    return switch (value) {
      case "master" -> HostRole.PRIMARY;
      case "replica" -> HostRole.REPLICA;
      default -> HostRole.UNKNOWN;
    };
  }

  /**
   * Returns the response. The caller becomes the owner of its row.
   *
   * @throws NullPointerException if the response has no outcome yet
   */
  BackendResponse take() {
    if (healthCheckValue != null) {
      report = LoadReportParser.parse(healthCheckValue);
    }
    ByteBuf completeRow = row;
    row = null;
    keptRowBytes = 0;
    return new BackendResponse(
        Objects.requireNonNull(outcome, "the response has no outcome"),
        completeRow,
        role,
        position,
        report);
  }

  /** Releases the row, if there is one that was not taken. */
  void release() {
    if (row != null) {
      row.release();
      row = null;
    }
    keptRowBytes = 0;
  }
}
