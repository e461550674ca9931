package rushwood.net;

import io.netty.buffer.ByteBuf;
import rushwood.protocol.ErrorResponse;
import rushwood.protocol.MessageReader;
import rushwood.protocol.MessageWriter;
import rushwood.protocol.ProtocolException;
import rushwood.protocol.SqlState;

/**
 * A host during warm-up that answers at once: of ten answers eight are rows, one an error, one that
 * its data is too old.
 */
public final class WarmupBackend extends WarmupPeer {
  private static final int ANSWER_KINDS = 10;
  private static final int ERROR_KIND = 8;
  private static final int LAGGING_KIND = 9;
  private static final String INTERNAL_ERROR = "XX000";
  private static final String REPLICA_REPORT = "x0=0,x1=0";

  private final int firstKind;
  private boolean started;

  /**
   * Creates a host for one connection.
   *
   * @param firstKind the kind of its first answer; with a running number the first answers of many
   *     connections are of all kinds
   */
  public WarmupBackend(int firstKind) {
    this.firstKind = firstKind;
  }

  @Override
  boolean handleNextMessage(MessageReader input, ByteBuf out) throws ProtocolException {
    if ((started ? input.nextMessage() : input.nextStartupMessage()) == null) {
      return false;
    }
    if (started) {
      writeAnswer(out, (firstKind + countAnswer()) % ANSWER_KINDS);
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
    MessageWriter.writeParameterStatus(out, "gauges", REPLICA_REPORT);
    MessageWriter.writeReadyForQuery(out);
  }

  private static void writeError(ByteBuf out, String sqlState) {
    MessageWriter.writeErrorResponse(out, ErrorResponse.error(sqlState, "warm-up"));
  }

  private static void writeRow(ByteBuf out) {
    MessageWriter.writeRowDescription(out, "val");
    MessageWriter.writeDataRow(out, REPLICA_REPORT);
    MessageWriter.writeCommandComplete(out, "SELECT 1");
  }
}
