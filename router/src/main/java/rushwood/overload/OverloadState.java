package rushwood.overload;

import rushwood.api.LogLevel;

/** The overload state of the router, a group or a host; see {@link OverloadDetector}. */
enum OverloadState {
  /** Few requests are refused, or few requests are repeats. */
  NORMAL,
  /** More requests are refused and repeated than chance or single clients explain. */
  RISING,
  /** A large share of the requests is refused and repeated. */
  OVERLOADED,
  /** Refusals have become rare, but clients may still come back. */
  RECOVERING;

  /** Returns the level at which a change to this state is logged. */
  LogLevel logLevel() {
    return this == RISING || this == OVERLOADED ? LogLevel.WARN : LogLevel.INFO;
  }

  /** Returns whether a budget limits retries in this state. */
  boolean limitsRetries() {
    return this == OVERLOADED || this == RECOVERING;
  }
}
