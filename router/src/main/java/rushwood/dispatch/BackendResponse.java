package rushwood.dispatch;

import io.netty.buffer.ByteBuf;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;

/**
 * The result of one exchange with a host. The receiver of a response releases it.
 *
 * @param outcome how the exchange ended
 * @param row the messages to pass on to the client; null if there is no row for a client
 * @param role the role that the host claims
 * @param position the replication position that the host reports, Unix time in nanoseconds;
 *     negative if it reports none
 * @param report the load report that came with the response; {@link LoadReport#NONE} if none came
 */
public record BackendResponse(
    AttemptOutcome outcome,
    @Nullable ByteBuf row,
    HostRole role,
    long position,
    LoadReport report) {

  /** Returns a response of which only the outcome is known. */
  public static BackendResponse withoutRow(AttemptOutcome outcome) {
    return new BackendResponse(
        outcome, null, HostRole.UNKNOWN, AttemptResult.NO_POSITION, LoadReport.NONE);
  }

  /**
   * Returns the messages to pass on to the client.
   *
   * @throws NullPointerException if there is no row; only a successful attempt has one
   */
  public ByteBuf requireRow() {
    return Objects.requireNonNull(row, "only a successful response has a row");
  }

  /** Releases the row, if there is one. */
  public void release() {
    if (row != null) {
      row.release();
    }
  }
}
