package rushwood.overload;

/**
 * Whether there is a storm, seen from rates alone: clients repeat what was not answered, faster
 * than it can be. Load by itself is no storm: a peak whose accesses are first ones stays calm
 * however high it is. Each change needs its signs for some ticks on end, and leaving a state needs
 * more of calm than entering it needed of storm.
 */
public final class OverloadDetector {
  public enum State {
    NORMAL,
    RISING,
    OVERLOADED,
    RECOVERING
  }

  /** What came in since the last tick. */
  public static final class TickCounts {
    int arrivals;
    int repeats;
    int refused; // turned back, run out or found no connection
    int completed;
  }

  public static final long TICK_NANOS = 100_000_000L;

  private static final double SMOOTHING_WEIGHT =
      0.3; // weight of a tick: three ticks back, so one burst in a tick is no sign
  private static final double MIN_ARRIVALS_PER_TICK =
      1; // arrivals a tick: below that shares say nothing
  private static final double RISING_SHARE =
      0.1; // refused and repeated: more than chance and single clients bring
  private static final double OVERLOADED_REFUSED_SHARE =
      0.3; // refused, and a quarter repeated: three tries an access soon
  private static final double OVERLOADED_REPEATED_SHARE = 0.25;
  private static final double RECOVERED_REFUSED_SHARE = 0.05;
  private static final int TICKS_TO_RISING =
      4; // ticks of signs until a storm is said to build: one bad tick shows for three
  private static final int TICKS_TO_OVERLOADED = 3; // and until there is one
  private static final int TICKS_TO_RECOVERING = 5; // ticks of calm after which it eases
  private static final int TICKS_TO_NORMAL =
      10; // and after which it is calm: the longest wait told has passed by then

  private final TickCounts tickCounts = new TickCounts();
  private State state = State.NORMAL;
  private double arrivals;
  private double repeats;
  private double refused;
  private double completed;
  private double peakCompleted;
  private int worseTicks;
  private int betterTicks;

  public TickCounts tickCounts() {
    return tickCounts;
  }

  public State state() {
    return state;
  }

  /** Answers a second lately, and the most of them that were seen, which fades within a minute. */
  public double completionRate() {
    return completed * 1e9 / TICK_NANOS;
  }

  public double peakCompletionRate() {
    return peakCompleted * 1e9 / TICK_NANOS;
  }

  /** The end of a tick; whether the state is another one now. */
  public boolean tick() {
    arrivals += (tickCounts.arrivals - arrivals) * SMOOTHING_WEIGHT;
    repeats += (tickCounts.repeats - repeats) * SMOOTHING_WEIGHT;
    refused += (tickCounts.refused - refused) * SMOOTHING_WEIGHT;
    completed += (tickCounts.completed - completed) * SMOOTHING_WEIGHT;
    peakCompleted = Math.max(completed, peakCompleted * PEAK_DECAY);
    tickCounts.arrivals = 0;
    tickCounts.repeats = 0;
    tickCounts.refused = 0;
    tickCounts.completed = 0;
    State next = nextState();
    boolean changed = next != state;
    if (changed) {
      worseTicks = 0;
      betterTicks = 0;
    }
    state = next;
    return changed;
  }

  private static final double PEAK_DECAY =
      0.998; // a tick: half of what was once seen is left after 35 s

  private State nextState() {
    boolean enough = arrivals > MIN_ARRIVALS_PER_TICK;
    boolean some = enough && refused > RISING_SHARE * arrivals && repeats > RISING_SHARE * arrivals;
    boolean many =
        enough
            && refused > OVERLOADED_REFUSED_SHARE * arrivals
            && repeats > OVERLOADED_REPEATED_SHARE * arrivals;
    boolean few = !enough || refused < RECOVERED_REFUSED_SHARE * arrivals;
    boolean quiet = few && (!enough || repeats < RISING_SHARE * arrivals);
    boolean worse = state == State.NORMAL ? some : many;
    boolean better = state == State.RECOVERING ? quiet : few || !some;
    worseTicks = worse ? worseTicks + 1 : 0;
    betterTicks = better ? betterTicks + 1 : 0;
    return switch (state) {
      case NORMAL -> worseTicks >= TICKS_TO_RISING ? State.RISING : state;
      case RISING ->
          worseTicks >= TICKS_TO_OVERLOADED
              ? State.OVERLOADED
              : betterTicks >= TICKS_TO_RECOVERING ? State.NORMAL : state;
      case OVERLOADED -> betterTicks >= TICKS_TO_RECOVERING ? State.RECOVERING : state;
      case RECOVERING ->
          worseTicks >= TICKS_TO_OVERLOADED
              ? State.OVERLOADED
              : betterTicks >= TICKS_TO_NORMAL ? State.NORMAL : state;
    };
  }

  @Override
  public String toString() {
    // Plain joining: a formatter's classes would be loaded in the first busy second of a start.
    return state
        + ": arrivals "
        + Math.round(arrivals * 10)
        + "/s, repeats "
        + Math.round(repeats * 10)
        + "/s, refused "
        + Math.round(refused * 10)
        + "/s, done "
        + Math.round(completed * 10)
        + "/s";
  }
}
