package rushwood.overload;

import rushwood.api.LogLevel;

/**
 * Tells from the rates of one router, group or host whether it is overloaded: requests are refused
 * and clients repeat them faster than they can be served.
 *
 * <p>High load alone is no overload: a peak of first requests leaves the state normal however high
 * it is. Each change of state needs its signs in several ticks in a row, and leaving a state needs
 * weaker rates than entering it (hysteresis).
 */
final class OverloadDetector {
  /** The state of what is observed, from normal to overloaded and back. */
  enum State {
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

  /** The interval between two calls of {@link #tick}, in nanoseconds. */
  static final long TICK_NANOS = 100_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final int TICKS_PER_SECOND = (int) (NANOS_PER_SECOND / TICK_NANOS);

  // Weight of the latest tick in the smoothed rates: about three ticks count, so a burst within
  // one tick is no sign.
  private static final double SMOOTHING_WEIGHT = 0.3;
  // What is left of the peak rate after a tick: half of it after 35 s.
  private static final double PEAK_DECAY = 0.998;
  // Arrivals a tick up to which shares of them say nothing.
  private static final double MIN_ARRIVALS_PER_TICK = 1;
  // Shares of the arrivals that are refused, and that are repeats: above both, overload is rising.
  private static final double RISING_SHARE = 0.1;
  // Above both of these there is overload; then a request soon takes three tries.
  private static final double OVERLOADED_REFUSED_SHARE = 0.3;
  private static final double OVERLOADED_REPEATED_SHARE = 0.25;
  private static final double RECOVERED_REFUSED_SHARE = 0.05;
  // One bad tick shows in the smoothed rates for three.
  private static final int TICKS_TO_RISING = 4;
  private static final int TICKS_TO_OVERLOADED = 3;
  // From overloaded to recovering, and from rising back to normal.
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
  private State state = State.NORMAL;
  private int worseTicks;
  private int betterTicks;

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
  State state() {
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
    State next = nextState();
    boolean changed = next != state;
    if (changed) {
      worseTicks = 0;
      betterTicks = 0;
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

  private State nextState() {
    worseTicks = isWorse() ? worseTicks + 1 : 0;
    betterTicks = isBetter() ? betterTicks + 1 : 0;
    return switch (state) {
      case NORMAL -> worseTicks >= TICKS_TO_RISING ? State.RISING : state;
      case RISING -> overloadedOr(State.NORMAL, TICKS_TO_RECOVERING);
      case OVERLOADED -> betterTicks >= TICKS_TO_RECOVERING ? State.RECOVERING : state;
      case RECOVERING -> overloadedOr(State.NORMAL, TICKS_TO_NORMAL);
    };
  }

  private State overloadedOr(State better, int ticksToBetter) {
    if (worseTicks >= TICKS_TO_OVERLOADED) {
      return State.OVERLOADED;
    }
    return betterTicks >= ticksToBetter ? better : state;
  }

  private boolean isWorse() {
    return state == State.NORMAL
        ? isAbove(RISING_SHARE, RISING_SHARE)
        : isAbove(OVERLOADED_REFUSED_SHARE, OVERLOADED_REPEATED_SHARE);
  }

  private boolean isBetter() {
    boolean fewArrivals = arrivals <= MIN_ARRIVALS_PER_TICK;
    boolean fewRefused = fewArrivals || refused < RECOVERED_REFUSED_SHARE * arrivals;
    if (state == State.RECOVERING) {
      return fewRefused && (fewArrivals || repeats < RISING_SHARE * arrivals);
    }
    return fewRefused || !isAbove(RISING_SHARE, RISING_SHARE);
  }

  private boolean isAbove(double refusedShare, double repeatedShare) {
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
