package rushwood.state;

import io.netty.buffer.ByteBuf;
import rushwood.api.AttemptOutcome;
import rushwood.api.LoadReport;

/**
 * How one use of a connection ended. {@code row} holds the messages to pass on, null unless
 * fulfilled; whoever gets the answer releases it.
 */
public record HostAnswer(
    AttemptOutcome end, ByteBuf row, Boolean primary, long position, LoadReport report) {
  public static HostAnswer of(AttemptOutcome end) {
    return new HostAnswer(end, null, null, -1, LoadReport.NONE);
  }

  public void release() {
    if (row != null) {
      row.release();
    }
  }
}
