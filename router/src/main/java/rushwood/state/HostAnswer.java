package rushwood.state;

import io.netty.buffer.ByteBuf;
import rushwood.api.LoadReport;
import rushwood.api.ShotEnd;

/**
 * How one use of a connection ended. {@code row} holds the messages to pass on, null unless
 * fulfilled; whoever gets the answer releases it.
 */
public record HostAnswer(
    ShotEnd end, ByteBuf row, Boolean primary, long position, LoadReport report) {
  public static HostAnswer of(ShotEnd end) {
    return new HostAnswer(end, null, null, -1, LoadReport.NONE);
  }

  public void release() {
    if (row != null) {
      row.release();
    }
  }
}
