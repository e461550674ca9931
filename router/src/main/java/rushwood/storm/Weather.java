package rushwood.storm;

/**
 * Whether there is a storm, seen from rates alone: clients repeat what was not answered, faster
 * than it can be. Load by itself is no storm: a peak whose accesses are first ones stays calm
 * however high it is. Each change needs its signs for some ticks on end, and leaving a state needs
 * more of calm than entering it needed of storm.
 */
public final class Weather {
  public enum State {
    CALM,
    BUILDING,
    STORM,
    EASING
  }

  /** What came in since the last tick. */
  public static final class Tally {
    int arrivals;
    int repeats;
    int refused; // turned back, run out or found no connection
    int done;
  }

  public static final long TICK = 100_000_000L;

  private static final double SMOOTH =
      0.3; // weight of a tick: three ticks back, so one burst in a tick is no sign
  private static final double LEAST = 1; // arrivals a tick: below that shares say nothing
  private static final double SOME =
      0.1; // refused and repeated: more than chance and single clients bring
  private static final double MANY =
      0.3; // refused, and a quarter repeated: three tries an access soon
  private static final double MANY_REPEATS = 0.25;
  private static final double FEW = 0.05;
  private static final int SOON =
      4; // ticks of signs until a storm is said to build: one bad tick shows for three
  private static final int SURE = 3; // and until there is one
  private static final int OVER = 5; // ticks of calm after which it eases
  private static final int LONG_OVER =
      10; // and after which it is calm: the longest wait told has passed by then

  private final Tally tally = new Tally();
  private State state = State.CALM;
  private double arrivals;
  private double repeats;
  private double refused;
  private double done;
  private double most;
  private int signs;
  private int calm;

  public Tally tally() {
    return tally;
  }

  public State state() {
    return state;
  }

  /** Answers a second lately, and the most of them that were seen, which fades within a minute. */
  public double doneRate() {
    return done * 1e9 / TICK;
  }

  public double mostRate() {
    return most * 1e9 / TICK;
  }

  /** The end of a tick; whether the state is another one now. */
  public boolean tick() {
    arrivals += (tally.arrivals - arrivals) * SMOOTH;
    repeats += (tally.repeats - repeats) * SMOOTH;
    refused += (tally.refused - refused) * SMOOTH;
    done += (tally.done - done) * SMOOTH;
    most = Math.max(done, most * FADE);
    tally.arrivals = 0;
    tally.repeats = 0;
    tally.refused = 0;
    tally.done = 0;
    State next = next();
    boolean changed = next != state;
    if (changed) {
      signs = 0;
      calm = 0;
    }
    state = next;
    return changed;
  }

  private static final double FADE = 0.998; // a tick: half of what was once seen is left after 35 s

  private State next() {
    boolean enough = arrivals > LEAST;
    boolean some = enough && refused > SOME * arrivals && repeats > SOME * arrivals;
    boolean many = enough && refused > MANY * arrivals && repeats > MANY_REPEATS * arrivals;
    boolean few = !enough || refused < FEW * arrivals;
    boolean quiet = few && (!enough || repeats < SOME * arrivals);
    boolean worse = state == State.CALM ? some : many;
    boolean better = state == State.EASING ? quiet : few || !some;
    signs = worse ? signs + 1 : 0;
    calm = better ? calm + 1 : 0;
    return switch (state) {
      case CALM -> signs >= SOON ? State.BUILDING : state;
      case BUILDING -> signs >= SURE ? State.STORM : calm >= OVER ? State.CALM : state;
      case STORM -> calm >= OVER ? State.EASING : state;
      case EASING -> signs >= SURE ? State.STORM : calm >= LONG_OVER ? State.CALM : state;
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
        + Math.round(done * 10)
        + "/s";
  }
}
