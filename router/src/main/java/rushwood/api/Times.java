package rushwood.api;

/** Special clock times, in nanoseconds. */
public final class Times {
  /** A time before every clock time; subtracting it from a clock time does not overflow. */
  public static final long LONG_AGO = Long.MIN_VALUE / 2;

  private Times() {}
}
