package rushwood.net;

import io.netty.buffer.ByteBuf;
import rushwood.protocol.ErrorResponse;
import rushwood.protocol.MessageReader;
import rushwood.protocol.MessageWriter;
import rushwood.protocol.ProtocolException;
import rushwood.protocol.SqlState;

/**
 * A simulated host for the warm-up, which answers immediately. Of ten answers, eight are rows, one
 * is an internal error, and one is the error of a replica whose data is too old.
 */
public final class WarmupBackend extends WarmupPeer {
  private static final int ANSWER_KINDS = 10;
  private static final int ERROR_KIND = 8;
  private static final int LAGGING_KIND = 9;
  private static final String INTERNAL_ERROR = "XX000";

  /** Sent as a parameter of each answer and in each row: a health check reads it from the row. */
  private static final String LOAD_REPORT = "x0=0,x1=0";

  private final int firstAnswerKind;
  private boolean started;

  /**
   * Creates the handler of one connection.
   *
   * @param firstAnswerKind selects the kind of the first answer, modulo the number of kinds; a
   *     sequence number makes the first answers of many connections cover all kinds
   */
  public WarmupBackend(int firstAnswerKind) {
    this.firstAnswerKind = firstAnswerKind;
  }

  @Override
  boolean handleNextMessage(MessageReader input, ByteBuf out) throws ProtocolException {
    if ((started ? input.nextMessage() : input.nextStartupMessage()) == null) {
      return false;
    }
    if (started) {
      writeAnswer(out, (firstAnswerKind + countAnswer()) % ANSWER_KINDS);
    } else {
      started = true;
      MessageWriter.writeStartupResponse(out, 0);
    }
    return true;
  }

  private static void writeAnswer(ByteBuf out, int kind) {
    switch (kind) {
      case ERROR_KIND -> writeError(out, INTERNAL_ERROR);
      case LAGGING_KIND -> writeError(out, SqlState.SNAPSHOT_TOO_OLD);
      default -> writeRow(out);
    }
    MessageWriter.writeParameterStatus(out, "part", "replica");
    MessageWriter.writeParameterStatus(out, "caught_up_to", "1");
    MessageWriter.writeParameterStatus(out, "gauges", LOAD_REPORT);
    MessageWriter.writeReadyForQuery(out);
  }

  private static void writeError(ByteBuf out, String sqlState) {
    MessageWriter.writeErrorResponse(out, ErrorResponse.error(sqlState, "warm-up"));
  }

  private static void writeRow(ByteBuf out) {
    MessageWriter.writeRowDescription(out, "val");
    MessageWriter.writeDataRow(out, LOAD_REPORT);
    MessageWriter.writeCommandComplete(out, "SELECT 1");
  }
}
