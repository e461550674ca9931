package rushwood.config;

import java.util.function.Supplier;
import rushwood.simulator.MalformedMessageException;

/** Seconds written as decimals, to and from whole nanoseconds. */
public final class DecimalSeconds {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private DecimalSeconds() {}

  public static long parseNanos(String text, Supplier<MalformedMessageException> bad) {
    int length = text.length();
    int at = length > 0 && text.charAt(0) == '-' ? 1 : 0;
    long whole = 0;
    long part = 0;
    long unit = NANOS_PER_SECOND;
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
      return Math.round(parseNumber(text, bad) * NANOS_PER_SECOND);
    }
    long nanos = whole * NANOS_PER_SECOND + part;
    return at == 1 ? -nanos : nanos;
  }

  public static double parseNumber(String text, Supplier<MalformedMessageException> bad) {
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
  public static void appendSeconds(StringBuilder out, long nanos) {
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
