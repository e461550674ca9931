package rushwood.overload;

/**
 * What the operator sets. {@code repeats} is the share of first shots that further ones may come to
 * while there is a storm, {@code repeatsFloor} the number a second that is always allowed; {@code
 * doubts}: a write whose client left while it may run is not run again for that client's next try.
 */
public record OverloadSettings(
    boolean retryAfterSchedule,
    boolean connectBackoff,
    double retriesPerFirstAttempt,
    double minRetriesPerSecond,
    boolean failAmbiguousWrites) {
  public static final OverloadSettings DEFAULT = new OverloadSettings(true, true, 0.2, 10, false);
  public static final OverloadSettings OFF = new OverloadSettings(false, false, 1e9, 1e9, false);
}
