package rushwood.protocol;

import rushwood.api.AttemptResult;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;

/** Parses positions and load reports of hosts. A malformed value counts as not reported. */
final class LoadReportParser {
  private static final String POSITION_FIELD = "x0"; // Unix time in seconds
  private static final String PRIMARY_FIELD = "x1"; // 1 on the primary

  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private LoadReportParser() {}

  /**
   * Parses a replication position, given as Unix time in milliseconds.
   *
   * @return the position as Unix time in nanoseconds, or {@link AttemptResult#NO_POSITION} if the
   *     text is not a positive number in range
   */
  static long parsePosition(String text) {
    try {
      long millis = Long.parseLong(text);
      boolean isValid = millis > 0 && millis <= Long.MAX_VALUE / NANOS_PER_MILLI;
      return isValid ? millis * NANOS_PER_MILLI : AttemptResult.NO_POSITION;
    } catch (NumberFormatException e) {
      return AttemptResult.NO_POSITION;
    }
  }

  /**
   * Parses a comma-separated list of {@code name=number} pairs; unknown names are ignored. If any
   * pair is malformed the other values cannot be trusted either.
   *
   * @return the report, or {@link LoadReport#NONE} if any pair is malformed
   */
  static LoadReport parse(String text) {
    double position = Double.NaN;
    HostRole role = HostRole.UNKNOWN;
    for (String pair : text.split(",")) {
      int equals = pair.indexOf('=');
      double value = equals < 0 ? Double.NaN : parseFinite(pair.substring(equals + 1));
      if (Double.isNaN(value)) {
        return LoadReport.NONE;
      }
      switch (pair.substring(0, equals).strip()) {
        case POSITION_FIELD -> position = value * NANOS_PER_SECOND;
        case PRIMARY_FIELD -> role = HostRole.of(value == 1);
        default -> {}
      }
    }
    return new LoadReport(position, role);
  }

  /** Returns the number, or NaN if the text is not a finite number. */
  private static double parseFinite(String text) {
    try {
      double value = Double.parseDouble(text.strip());
      return Double.isFinite(value) ? value : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
