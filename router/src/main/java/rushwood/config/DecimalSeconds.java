package rushwood.config;

/** Converts between times in decimal seconds, as text, and times in whole nanoseconds. */
public final class DecimalSeconds {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long NANOS_PER_MICRO = 1000;
  private static final long MICROS_PER_SECOND = 1_000_000;

  /** Maximum length of a text that is parsed digit by digit: 17 digits always fit into a long. */
  private static final int MAX_EXACT_LENGTH = 17;

  /** Maximum number of seconds that is converted exactly; its nanoseconds still fit into a long. */
  private static final long MAX_EXACT_SECONDS = 9_000_000_000L;

  private DecimalSeconds() {}

  /**
   * Parses a time in seconds and returns it in nanoseconds.
   *
   * <p>Plain decimals are converted exactly, except that digits after the ninth decimal place are
   * dropped. Other notations, and numbers too long or too large for that, are converted by way of a
   * {@code double}.
   *
   * @throws NumberFormatException if the text is not a finite number
   */
  public static long parseNanos(String text) {
    int length = text.length();
    boolean negative = length > 0 && text.charAt(0) == '-';
    int firstDigit = negative ? 1 : 0;
    long seconds = 0;
    long fractionNanos = 0;
    long digitNanos = NANOS_PER_SECOND;
    boolean inFraction = false;
    boolean isPlain = firstDigit < length && length <= MAX_EXACT_LENGTH;
    for (int i = firstDigit; isPlain && i < length; i++) {
      char c = text.charAt(i);
      if (c == '.' && !inFraction) {
        inFraction = true;
      } else if (c < '0' || c > '9') {
        isPlain = false;
      } else if (inFraction) {
        digitNanos /= 10;
        fractionNanos += digitNanos * (c - '0');
      } else {
        seconds = seconds * 10 + (c - '0');
      }
    }
    if (!isPlain || seconds > MAX_EXACT_SECONDS) {
      return Math.round(parseNumber(text) * NANOS_PER_SECOND);
    }
    long nanos = seconds * NANOS_PER_SECOND + fractionNanos;
    return negative ? -nanos : nanos;
  }

  /**
   * Parses a finite number.
   *
   * @throws NumberFormatException if the text is not a finite number
   */
  public static double parseNumber(String text) {
    double value = Double.parseDouble(text);
    if (!Double.isFinite(value)) {
      throw new NumberFormatException("not finite: " + text);
    }
    return value;
  }

  /** Appends a time in seconds with six decimal places, rounded up to whole microseconds. */
  public static void appendSeconds(StringBuilder out, long nanos) {
    long micros = Math.floorDiv(nanos + NANOS_PER_MICRO - 1, NANOS_PER_MICRO);
    if (micros < 0) {
      out.append('-');
      micros = -micros;
    }
    out.append(micros / MICROS_PER_SECOND).append('.');
    long fraction = micros % MICROS_PER_SECOND;
    for (long unit = MICROS_PER_SECOND / 10; unit > 0; unit /= 10) {
      out.append((char) ('0' + fraction / unit % 10));
    }
  }
}
