package rushwood.dispatch;

import io.netty.buffer.ByteBuf;
import rushwood.api.AttemptOutcome;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;

/**
 * How one use of a connection ended. {@code row} holds the messages to pass on, null unless
 * fulfilled; whoever gets the answer releases it.
 */
public record BackendResponse(
    AttemptOutcome outcome, ByteBuf row, HostRole role, long position, LoadReport report) {
  public static BackendResponse withoutRow(AttemptOutcome outcome) {
    return new BackendResponse(outcome, null, HostRole.UNKNOWN, -1, LoadReport.NONE);
  }

  public void release() {
    if (row != null) {
      row.release();
    }
  }
}
