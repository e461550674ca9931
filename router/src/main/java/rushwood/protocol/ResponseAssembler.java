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
 * Collects a host's response to one statement: a row or an error, and what the host reports of
 * itself.
 */
final class ResponseAssembler {
  private static final String ROLE_PARAMETER = "part";
  private static final String POSITION_PARAMETER = "caught_up_to";
  private static final String LOAD_REPORT_PARAMETER = "gauges";

  private static final int ROW_PARTS = 3;

  private final ByteBufAllocator allocator;
  private final RowChecker rowChecker = new RowChecker();
  private boolean isHealthCheck;
  private @Nullable CompositeByteBuf row; // owned until it is taken; none before its first part
  private @Nullable String healthCheckValue; // the value of a health check's row
  private @Nullable AttemptOutcome outcome; // once the row or an error is complete
  private HostRole role = HostRole.UNKNOWN;
  private long position = AttemptResult.NO_POSITION;
  private LoadReport report = LoadReport.NONE;

  ResponseAssembler(ByteBufAllocator allocator) {
    this.allocator = allocator;
  }

  /**
   * Forgets all of the last response.
   *
   * @param isHealthCheck whether the value of the row is a load report, and not passed on to a
   *     client
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

  /** Whether the row or error is complete; parameters and ReadyForQuery may follow. */
  boolean hasOutcome() {
    return outcome != null;
  }

  /**
   * Adds a part of the row.
   *
   * @param message the whole message, its reader index at the body; retained if it is passed on
   * @throws ProtocolException that is fatal, if {@link RowChecker} finds a fault or the response
   *     was complete before
   */
  void addRowPart(char type, ByteBuf message) throws ProtocolException {
    if (hasOutcome()) {
      throw RowChecker.outOfOrder();
    }
    int bodyStart = message.readerIndex();
    rowChecker.checkPart(type, message);
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
    CompositeByteBuf parts = row;
    if (parts == null) {
      parts = allocator.compositeBuffer(ROW_PARTS);
      row = parts;
    }
    message.readerIndex(0); // type and length stand before the body
    parts.addComponent(true, message.retainedSlice());
  }

  /** Drops the row, if a part of it was read: the statement ended with this error. */
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

  /** Reads what the host reports of itself; other parameters are ignored. */
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
   * The response, whose row then belongs to the caller.
   *
   * @throws NullPointerException if there is no outcome yet
   */
  BackendResponse take() {
    if (healthCheckValue != null) {
      report = LoadReportParser.parse(healthCheckValue);
    }
    ByteBuf completeRow = row;
    row = null;
    return new BackendResponse(
        Objects.requireNonNull(outcome, "the response is complete"),
        completeRow,
        role,
        position,
        report);
  }

  /** Releases the row unless it was taken. */
  void release() {
    if (row != null) {
      row.release();
      row = null;
    }
  }
}
