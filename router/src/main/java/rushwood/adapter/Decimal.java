package rushwood.adapter;

import java.util.function.Supplier;

/** Seconds written as decimals, to and from whole nanoseconds. */
final class Decimal {
  private static final long SECOND = 1_000_000_000L;

  private Decimal() {}

  static long nanos(String text, Supplier<BadLine> bad) {
    int length = text.length();
    int at = length > 0 && text.charAt(0) == '-' ? 1 : 0;
    long whole = 0;
    long part = 0;
    long unit = SECOND;
    boolean point = false;
    boolean plain = at < length && length < 18;
    for (int i = at; plain && i < length; i++) {
      char c = text.charAt(i);
      if (c == '.' && !point) {
        point = true;
      } else if (c < '0' || c > '9') {
        plain = false;
      } else if (point) {
        unit /= 10;
        part += unit * (c - '0');
      } else {
        whole = whole * 10 + (c - '0');
      }
    }
    if (!plain || whole > 9_000_000_000L) {
      return Math.round(number(text, bad) * SECOND);
    }
    long nanos = whole * SECOND + part;
    return at == 1 ? -nanos : nanos;
  }

  static double number(String text, Supplier<BadLine> bad) {
    try {
      double value = Double.parseDouble(text);
      if (Double.isFinite(value)) {
        return value;
      }
    } catch (NumberFormatException e) {
      // told below
    }
    throw bad.get();
  }

  /** Writes a time as seconds to the microsecond, rounded up. */
  static void write(StringBuilder out, long nanos) {
    long micros = Math.floorDiv(nanos + 999, 1000);
    if (micros < 0) {
      out.append('-');
      micros = -micros;
    }
    out.append(micros / 1_000_000).append('.');
    long rest = micros % 1_000_000;
    for (long unit = 100_000; unit > 0; unit /= 10) {
      out.append((char) ('0' + rest / unit % 10));
    }
  }
}
