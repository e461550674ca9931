package rushwood.protocol;

import rushwood.api.HostRole;
import rushwood.api.LoadReport;

/** Reads what hosts say of themselves; what cannot be read counts as not said. */
final class LoadReportParser {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private LoadReportParser() {}

  /** A Unix time in milliseconds as nanoseconds; negative for none. */
  static long parsePosition(String text) {
    try {
      long millis = Long.parseLong(text);
      return millis > 0 && millis <= Long.MAX_VALUE / NANOS_PER_MILLI
          ? millis * NANOS_PER_MILLI
          : -1;
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /**
   * All of it counts or nothing: where one field cannot be read the others may not be what they
   * seem.
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
        case "x0" -> position = value * NANOS_PER_SECOND;
        case "x1" -> role = HostRole.of(value == 1);
        default -> {}
      }
    }
    return new LoadReport(position, role);
  }

  private static double parseFinite(String text) {
    try {
      double value = Double.parseDouble(text.strip());
      return Double.isFinite(value) ? value : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
