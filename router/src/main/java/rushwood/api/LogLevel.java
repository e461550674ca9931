package rushwood.api;

/** How urgent a log line is to the engineer on call. */
public enum LogLevel {
  /** A normal change, such as a new primary or the end of a fault. */
  INFO,
  /** A fault outside the router that the router copes with, such as an ejected host. */
  WARN,
  /** A fault of the router itself, or a fault that keeps it from serving. */
  ERROR
}
