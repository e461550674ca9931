package rushwood.storm;

/**
 * What the operator sets. {@code repeats} is the share of first shots that further ones may come to
 * while there is a storm, {@code repeatsFloor} the number a second that is always allowed; {@code
 * doubts}: a write whose client left while it may run is not run again for that client's next try.
 */
public record StormSettings(
    boolean calendar, boolean paceDials, double repeats, double repeatsFloor, boolean doubts) {
  public static final StormSettings DEFAULT = new StormSettings(true, true, 0.2, 10, false);
  public static final StormSettings OFF = new StormSettings(false, false, 1e9, 1e9, false);
}
