package rushwood.dispatch;

/**
 * Limits the time that one kind of work may take in a turn of the event loop. Work that finds the
 * time used up has to wait for a later turn, so that sockets are read and timers fire meanwhile.
 * Used on the event loop's thread only.
 */
public final class TurnBudget {
  private static final long NO_TURN = -1;

  private final EventLoopClock clock;
  private final long maxNanos;
  private long turnNumber = NO_TURN;
  private long firstUseNanos; // since the start of that turn

  /**
   * Creates a budget that is full in each turn.
   *
   * @param maxNanos the time in nanoseconds, counted from the first use in a turn
   */
  public TurnBudget(EventLoopClock clock, long maxNanos) {
    this.clock = clock;
    this.maxNanos = maxNanos;
  }

  /** Returns whether the work may go on in this turn. The first call in a turn returns true. */
  public boolean hasTime() {
    long turn = clock.turnNumber();
    long turnNanos = clock.turnNanos();
    if (turn != turnNumber) {
      turnNumber = turn;
      firstUseNanos = turnNanos;
    }
    return turnNanos - firstUseNanos < maxNanos;
  }
}
