package rushwood.overload;

/**
 * Tells from the rates of one router, group or host whether it is overloaded: requests are refused
 * and clients repeat them faster than they can be served. High load alone is no overload: a peak of
 * first requests leaves the state normal however high it is.
 *
 * <p>The state changes when a sign holds for several ticks in a row. Shares are of the arrivals,
 * from smoothed rates:
 *
 * <ul>
 *   <li>normal to rising: refused and repeated both above {@link #RISING_SHARE}, for {@link
 *       #TICKS_TO_RISING};
 *   <li>rising or recovering to overloaded: refused above {@link #OVERLOADED_REFUSED_SHARE} and
 *       repeated above {@link #OVERLOADED_REPEATED_SHARE}, for {@link #TICKS_TO_OVERLOADED};
 *   <li>rising to normal, and overloaded to recovering: not both above {@link #RISING_SHARE}, for
 *       {@link #TICKS_TO_RECOVERING};
 *   <li>recovering to normal: refused below {@link #RECOVERED_REFUSED_SHARE} and repeated below
 *       {@link #RISING_SHARE}, for {@link #TICKS_TO_NORMAL}.
 * </ul>
 *
 * <p>Leaving a state so needs weaker rates than entering it (hysteresis). With {@link
 * #MIN_ARRIVALS_PER_TICK} or fewer arrivals a tick shares say nothing, and the state goes back to
 * normal.
 */
final class OverloadDetector {
  /** The interval between two calls of {@link #tick}, in nanoseconds. */
  static final long TICK_NANOS = 100_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final int TICKS_PER_SECOND = (int) (NANOS_PER_SECOND / TICK_NANOS);

  // Weight of the latest tick in the smoothed rates: about three ticks count, so a burst within
  // one tick is no sign.
  private static final double SMOOTHING_WEIGHT = 0.3;
  // What is left of the peak rate after a tick: half of it after 35 s.
  private static final double PEAK_DECAY = 0.998;
  private static final double MIN_ARRIVALS_PER_TICK = 1;
  private static final double RISING_SHARE = 0.1;
  // With so many refused and repeated a request soon takes three tries.
  private static final double OVERLOADED_REFUSED_SHARE = 0.3;
  private static final double OVERLOADED_REPEATED_SHARE = 0.25;
  private static final double RECOVERED_REFUSED_SHARE = 0.05;
  // One bad tick shows in the smoothed rates for three.
  private static final int TICKS_TO_RISING = 4;
  private static final int TICKS_TO_OVERLOADED = 3;
  private static final int TICKS_TO_RECOVERING = 5;
  // The longest Retry-After has passed by then.
  private static final int TICKS_TO_NORMAL = 10;

  private int arrivalsInTick;
  private int repeatsInTick;
  private int refusedInTick;
  private int completedInTick;
  // Smoothed, per tick.
  private double arrivals;
  private double repeats;
  private double refused;
  private double completed;
  private double peakCompleted;
  private OverloadState state = OverloadState.NORMAL;
  private int worseningTicks;
  private int improvingTicks;

  /** A request arrived; {@code repeated} if it repeats one that had no answer. */
  void recordArrival(boolean repeated) {
    arrivalsInTick++;
    repeatsInTick += repeated ? 1 : 0;
  }

  /** A request was rejected or timed out, or its host could not be reached. */
  void recordRefused() {
    refusedInTick++;
  }

  /** An attempt succeeded. */
  void recordCompleted() {
    completedInTick++;
  }

  /** The state as of the last tick. */
  OverloadState state() {
    return state;
  }

  /** Successful attempts a second, smoothed over the last ticks. */
  double completionRate() {
    return completed * NANOS_PER_SECOND / TICK_NANOS;
  }

  /** The highest {@link #completionRate} seen; it decays to half within 35 s. */
  double peakCompletionRate() {
    return peakCompleted * NANOS_PER_SECOND / TICK_NANOS;
  }

  /** Ends a tick and returns whether the state changed. */
  boolean tick() {
    updateRates();
    OverloadState next = nextState();
    boolean changed = next != state;
    if (changed) {
      worseningTicks = 0;
      improvingTicks = 0;
    }
    state = next;
    return changed;
  }

  private void updateRates() {
    arrivals += (arrivalsInTick - arrivals) * SMOOTHING_WEIGHT;
    repeats += (repeatsInTick - repeats) * SMOOTHING_WEIGHT;
    refused += (refusedInTick - refused) * SMOOTHING_WEIGHT;
    completed += (completedInTick - completed) * SMOOTHING_WEIGHT;
    peakCompleted = Math.max(completed, peakCompleted * PEAK_DECAY);
    arrivalsInTick = 0;
    repeatsInTick = 0;
    refusedInTick = 0;
    completedInTick = 0;
  }

  private OverloadState nextState() {
    worseningTicks = isWorsening() ? worseningTicks + 1 : 0;
    improvingTicks = isImproving() ? improvingTicks + 1 : 0;
    return switch (state) {
      case NORMAL -> worseningTicks >= TICKS_TO_RISING ? OverloadState.RISING : state;
      case RISING -> overloadedOrImproved(OverloadState.NORMAL, TICKS_TO_RECOVERING);
      case OVERLOADED -> improvingTicks >= TICKS_TO_RECOVERING ? OverloadState.RECOVERING : state;
      case RECOVERING -> overloadedOrImproved(OverloadState.NORMAL, TICKS_TO_NORMAL);
    };
  }

  private OverloadState overloadedOrImproved(OverloadState improved, int ticksToImproved) {
    if (worseningTicks >= TICKS_TO_OVERLOADED) {
      return OverloadState.OVERLOADED;
    }
    return improvingTicks >= ticksToImproved ? improved : state;
  }

  private boolean isWorsening() {
    return state == OverloadState.NORMAL
        ? exceedsShares(RISING_SHARE, RISING_SHARE)
        : exceedsShares(OVERLOADED_REFUSED_SHARE, OVERLOADED_REPEATED_SHARE);
  }

  private boolean isImproving() {
    if (state != OverloadState.RECOVERING) {
      return !exceedsShares(RISING_SHARE, RISING_SHARE);
    }
    return arrivals <= MIN_ARRIVALS_PER_TICK
        || (refused < RECOVERED_REFUSED_SHARE * arrivals && repeats < RISING_SHARE * arrivals);
  }

  private boolean exceedsShares(double refusedShare, double repeatedShare) {
    return arrivals > MIN_ARRIVALS_PER_TICK
        && refused > refusedShare * arrivals
        && repeats > repeatedShare * arrivals;
  }

  /** The state and the smoothed rates a second, for the log. */
  @Override
  public String toString() {
    // One concatenation: a formatter's classes would be loaded in the first busy second of a start.
    return state
        + ": arrivals "
        + perSecond(arrivals)
        + "/s, repeats "
        + perSecond(repeats)
        + "/s, refused "
        + perSecond(refused)
        + "/s, completed "
        + perSecond(completed)
        + "/s";
  }

  private static long perSecond(double perTick) {
    return Math.round(perTick * TICKS_PER_SECOND);
  }
}
