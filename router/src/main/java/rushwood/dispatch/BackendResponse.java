package rushwood.dispatch;

import io.netty.buffer.ByteBuf;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;

/**
 * How one exchange with a host ended. Whoever receives a response releases it.
 *
 * @param outcome the outcome
 * @param row the messages to pass on to the client, if a row was read for one
 * @param role the role that the host claims
 * @param position the position that the host gives, Unix time in nanoseconds; negative if it gives
 *     none
 * @param report the load report that came with the response
 */
public record BackendResponse(
    AttemptOutcome outcome,
    @Nullable ByteBuf row,
    HostRole role,
    long position,
    LoadReport report) {

  /** A response of which nothing but the outcome is known. */
  public static BackendResponse withoutRow(AttemptOutcome outcome) {
    return new BackendResponse(
        outcome, null, HostRole.UNKNOWN, AttemptResult.NO_POSITION, LoadReport.NONE);
  }

  /**
   * The messages to pass on to the client.
   *
   * @throws NullPointerException if there is no row: the outcome of an attempt is no success
   */
  public ByteBuf requireRow() {
    return Objects.requireNonNull(row, "only a success has a row");
  }

  /** Releases the row, if there is one. */
  public void release() {
    if (row != null) {
      row.release();
    }
  }
}
