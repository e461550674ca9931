package rushwood.overload;

/**
 * The operator's settings of overload control.
 *
 * @param retryAfterSchedule whether a schedule spreads the Retry-After times; otherwise each is the
 *     longest allowed, and is sent only while other requests wait
 * @param connectBackoff whether connection attempts to hosts that do not accept connections are
 *     limited
 * @param retriesPerFirstAttempt how many costly retries each attempt of any other kind allows while
 *     the retries of its group are limited; see {@link RetryBudget}
 * @param minRetriesPerSecond how many costly retries per second and group are allowed in any case
 * @param failAmbiguousWrites whether a write is failed without being sent if it repeats an
 *     unanswered one that may have been executed
 */
public record OverloadSettings(
    boolean retryAfterSchedule,
    boolean connectBackoff,
    double retriesPerFirstAttempt,
    double minRetriesPerSecond,
    boolean failAmbiguousWrites) {

  /** The settings that apply unless the operator sets others. */
  public static final OverloadSettings DEFAULT = new OverloadSettings(true, true, 0.2, 10, false);
}
