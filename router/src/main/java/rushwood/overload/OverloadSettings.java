package rushwood.overload;

/**
 * The operator's settings of overload control.
 *
 * @param retryAfterSchedule whether Retry-After times come from a schedule; else each is the
 *     longest that may be told, while others wait
 * @param connectBackoff whether connection attempts to hosts that accept none are limited
 * @param retriesPerFirstAttempt how many retries there may be for each first attempt while a group
 *     is overloaded
 * @param minRetriesPerSecond how many retries a second are always allowed, for each group
 * @param failAmbiguousWrites whether a write is failed unsent when it repeats one whose client got
 *     no answer and which may have been executed
 */
public record OverloadSettings(
    boolean retryAfterSchedule,
    boolean connectBackoff,
    double retriesPerFirstAttempt,
    double minRetriesPerSecond,
    boolean failAmbiguousWrites) {

  /** The settings that hold where the operator names none. */
  public static final OverloadSettings DEFAULT = new OverloadSettings(true, true, 0.2, 10, false);
}
