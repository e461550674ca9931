package rushwood.overload;

/** Clock times with a meaning of their own. */
final class Times {
  /** Before any clock time, yet so far from the lowest value that differences don't overflow. */
  static final long LONG_AGO = Long.MIN_VALUE / 2;

  private Times() {}
}
