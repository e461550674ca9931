package rushwood.overload;

/**
 * Detects overload of one router, group or host from its rates: requests are refused and clients
 * repeat them faster than they can be served. High load alone is not overload: a peak of requests
 * without repeats leaves the state normal, however high it is.
 *
 * <p>The state changes when a condition holds for a number of consecutive ticks. The conditions
 * compare the smoothed rates of refusals and repeats, as shares of the arrivals:
 *
 * <ul>
 *   <li>normal to rising: both shares above {@link #RISING_SHARE} for {@link #TICKS_TO_RISING};
 *   <li>rising or recovering to overloaded: refusals above {@link #OVERLOADED_REFUSED_SHARE} and
 *       repeats above {@link #OVERLOADED_REPEATED_SHARE} for {@link #TICKS_TO_OVERLOADED};
 *   <li>rising to normal, and overloaded to recovering: not both shares above {@link #RISING_SHARE}
 *       for {@link #TICKS_TO_RECOVERING};
 *   <li>recovering to normal: refusals below {@link #RECOVERED_REFUSED_SHARE} and repeats below
 *       {@link #RISING_SHARE} for {@link #TICKS_TO_NORMAL}.
 * </ul>
 *
 * <p>The overloaded state is left at lower shares than it is entered (hysteresis). With {@link
 * #MIN_ARRIVALS_PER_TICK} or fewer arrivals per tick the shares are meaningless, and the state
 * returns to normal by the usual steps.
 */
final class OverloadDetector {
  /** The interval between two calls of {@link #tick}, in nanoseconds. */
  static final long TICK_NANOS = 100_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final int TICKS_PER_SECOND = (int) (NANOS_PER_SECOND / TICK_NANOS);

  // The weight of the latest tick in the smoothed rates. They cover about three ticks, so a burst
  // within one tick does not change the state.
  private static final double SMOOTHING_WEIGHT = 0.3;
  // The factor by which the peak rate decays per tick: to half in 35 s.
  private static final double PEAK_DECAY = 0.998;
  private static final double MIN_ARRIVALS_PER_TICK = 1;
  private static final double RISING_SHARE = 0.1;
  // At these shares of refusals and repeats, a request soon takes three tries.
  private static final double OVERLOADED_REFUSED_SHARE = 0.3;
  private static final double OVERLOADED_REPEATED_SHARE = 0.25;
  private static final double RECOVERED_REFUSED_SHARE = 0.05;
  // A single bad tick raises the smoothed rates for about three ticks.
  private static final int TICKS_TO_RISING = 4;
  private static final int TICKS_TO_OVERLOADED = 3;
  private static final int TICKS_TO_RECOVERING = 5;
  // By then the longest Retry-After has passed.
  private static final int TICKS_TO_NORMAL = 10;

  private int arrivalsInTick;
  private int repeatsInTick;
  private int refusedInTick;
  private int completedInTick;
  // Smoothed rates per tick.
  private double arrivals;
  private double repeats;
  private double refused;
  private double completed;
  private double peakCompleted;
  private OverloadState state = OverloadState.NORMAL;
  // Consecutive ticks in which the condition for a worse or a better state held.
  private int worseningTicks;
  private int improvingTicks;

  /**
   * Records the arrival of a request.
   *
   * @param repeated whether it repeats an unanswered request
   */
  void recordArrival(boolean repeated) {
    arrivalsInTick++;
    repeatsInTick += repeated ? 1 : 0;
  }

  /**
   * Records a refusal: a rejected request or an attempt that timed out; in the detector of a host
   * also an attempt that could not connect or was refused by the overloaded host.
   */
  void recordRefused() {
    refusedInTick++;
  }

  /** Records a successful attempt. */
  void recordCompleted() {
    completedInTick++;
  }

  /** Returns the state as of the last tick. */
  OverloadState state() {
    return state;
  }

  /** Returns the number of successful attempts per second, smoothed over the last ticks. */
  double completionRate() {
    return completed * NANOS_PER_SECOND / TICK_NANOS;
  }

  /** Returns the highest {@link #completionRate} seen, which decays to half in 35 s. */
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

  /** Returns the state and the smoothed rates per second, for the log. */
  @Override
  public String toString() {
    // Not String.format, whose classes would be loaded in the first busy second after the start.
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
