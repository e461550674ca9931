package rushwood.overload;

import rushwood.api.LogLevel;

/** The state of the router, a group or a host, from normal to overloaded and back. */
enum OverloadState {
  /** Few requests are refused, or few of them are repeats. */
  NORMAL,
  /** Requests are refused and repeated more than chance and single clients explain. */
  RISING,
  /** A large share of the requests is refused and repeated. */
  OVERLOADED,
  /** Refusals have become rare, but clients may still come back. */
  RECOVERING;

  /** A change to this state is a fault while requests are refused and repeated. */
  LogLevel logLevel() {
    return this == RISING || this == OVERLOADED ? LogLevel.WARN : LogLevel.INFO;
  }

  /** Whether retries are limited by a budget in this state. */
  boolean limitsRetries() {
    return this == OVERLOADED || this == RECOVERING;
  }
}
