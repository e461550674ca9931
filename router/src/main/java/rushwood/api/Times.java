package rushwood.api;

/** Clock times with a meaning of their own, in nanoseconds. */
public final class Times {
  /** Before any clock time, yet so far from the lowest value that differences do not overflow. */
  public static final long LONG_AGO = Long.MIN_VALUE / 2;

  private Times() {}
}
