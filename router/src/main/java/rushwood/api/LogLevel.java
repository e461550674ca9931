package rushwood.api;

/** How urgent a log line is to the engineer on call. */
public enum LogLevel {
  /** A normal change, such as a new primary or the end of a fault. */
  INFO,
  /** A fault outside of the router that it copes with, such as an ejected host. */
  WARN,
  /** A fault of the router itself, or one that keeps it from serving. */
  ERROR
}
