package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.dispatch.BackendResponse;

/**
 * Collects a host's response to one statement: a row or an error, and what the host reports of
 * itself. Checks that the row is whole and consistent to the byte, as clients have to be able to
 * read it.
 */
final class ResponseAssembler {
  private static final String ROLE_PARAMETER = "part";
  private static final String POSITION_PARAMETER = "caught_up_to";
  private static final String LOAD_REPORT_PARAMETER = "gauges";

  private static final char NO_ROW_PART = 0;
  private static final int ROW_PARTS = 3;
  private static final int MIN_ROW_PART_BYTES = 6; // a column count and one name or value length
  private static final int COLUMN_DESCRIPTION_BYTES = 18; // behind the name of a column

  private final ByteBufAllocator allocator;
  private boolean isHealthCheck;
  private @Nullable CompositeByteBuf row; // owned until it is taken
  private char lastRowPart;
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
    lastRowPart = NO_ROW_PART;
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
   * Adds a part of the row, which is exactly one RowDescription, one DataRow of one column and one
   * CommandComplete.
   *
   * @param message the whole message, its reader index at the body; retained if it is passed on
   */
  void addRowPart(char type, ByteBuf message) throws ProtocolException {
    if (hasOutcome() || !isNextRowPart(type)) {
      throw ProtocolException.protocolViolation("a part of a row out of order");
    }
    int bodyStart = message.readerIndex();
    checkLengths(type, message);
    lastRowPart = type;
    if (!isHealthCheck) {
      appendToRow(message);
    } else if (type == BackendMessageType.DATA_ROW) {
      healthCheckValue = columnValue(message, bodyStart);
    }
    if (type == BackendMessageType.COMMAND_COMPLETE) {
      outcome = AttemptOutcome.SUCCESS;
    }
  }

  private boolean isNextRowPart(char type) {
    return switch (type) {
      case BackendMessageType.ROW_DESCRIPTION -> lastRowPart == NO_ROW_PART;
      case BackendMessageType.DATA_ROW -> lastRowPart == BackendMessageType.ROW_DESCRIPTION;
      case BackendMessageType.COMMAND_COMPLETE -> lastRowPart == BackendMessageType.DATA_ROW;
      default -> false;
    };
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

  private static String columnValue(ByteBuf dataRow, int bodyStart) {
    int start = bodyStart + MIN_ROW_PART_BYTES;
    return dataRow.toString(start, dataRow.writerIndex() - start, StandardCharsets.UTF_8);
  }

  private static void checkLengths(char type, ByteBuf message) throws ProtocolException {
    if (type != BackendMessageType.COMMAND_COMPLETE
        && (message.readableBytes() < MIN_ROW_PART_BYTES || message.readShort() != 1)) {
      throw ProtocolException.protocolViolation("a row that has not one column");
    }
    if (type != BackendMessageType.DATA_ROW) {
      CString.read(message);
    }
    int expectedBytes =
        switch (type) {
          case BackendMessageType.ROW_DESCRIPTION -> COLUMN_DESCRIPTION_BYTES;
          case BackendMessageType.DATA_ROW -> message.readInt();
          default -> 0;
        };
    if (message.readableBytes() != expectedBytes) {
      throw ProtocolException.protocolViolation("a part of a row whose lengths do not fit");
    }
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
