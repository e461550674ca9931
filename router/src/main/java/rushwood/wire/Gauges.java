package rushwood.wire;

import rushwood.api.LoadReport;

/** Reads what hosts say of themselves; what cannot be read counts as not said. */
final class Gauges {
  private static final double SECOND = 1e9;
  private static final long MS = 1_000_000L;

  private Gauges() {}

  /** A Unix time in milliseconds as nanoseconds; negative for none. */
  static long position(String text) {
    try {
      long millis = Long.parseLong(text);
      return millis > 0 && millis <= Long.MAX_VALUE / MS ? millis * MS : -1;
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /**
   * All of it counts or nothing: where one field cannot be read the others may not be what they
   * seem.
   */
  static LoadReport read(String text) {
    double position = Double.NaN;
    Boolean primary = null;
    for (String pair : text.split(",")) {
      int equals = pair.indexOf('=');
      double value = equals < 0 ? Double.NaN : number(pair.substring(equals + 1));
      if (Double.isNaN(value)) {
        return LoadReport.NONE;
      }
      switch (pair.substring(0, equals).strip()) {
        case "x0" -> position = value * SECOND;
        case "x1" -> primary = value == 1;
        default -> {}
      }
    }
    return new LoadReport(position, primary);
  }

  private static double number(String text) {
    try {
      double value = Double.parseDouble(text.strip());
      return Double.isFinite(value) ? value : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
