package rushwood.overload;

/**
 * Divides the sockets that the process may hold between clients and backends, by what backends turn
 * out to need.
 *
 * <p>Connections to backends are few and busy, those of clients are many and mostly idle. With a
 * fixed division a third of the sockets stayed unused while clients were refused. Backends keep a
 * quarter above their recent peak; if they need more, they get it as idle clients are closed.
 */
public final class DescriptorBudget {
  // Clients have three fifths of the sockets at least, whatever backends use.
  private static final int MIN_CLIENT_PARTS = 3;
  private static final int PARTS = 5;
  // Backends have an eighth whatever they use: at a start, or in the first moment of an outage.
  private static final int MIN_BACKEND_DIVISOR = 8;
  // Above the peak, so that a burst finds room before clients are closed.
  private static final double PEAK_HEADROOM = 1.25;
  private static final long PEAK_HALF_LIFE_NANOS = 10_000_000_000L;
  // Beyond so many half-lives nothing is left of a peak, however long ago it was.
  private static final double MAX_HALF_LIVES = 64;
  // Earlier than any clock time, and far enough from the end that differences do not overflow.
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final int total;
  private double backendPeak;
  private long backendPeakAt = NEVER;
  private int openBackends;
  private int openClients;

  /** Creates the budget of {@code total} sockets, five at least. */
  public DescriptorBudget(int total) {
    this.total = Math.max(PARTS, total);
  }

  /** Reports how many connections to backends are open or opening. */
  public void setOpenBackends(int open, long now) {
    openBackends = open;
    if (open >= decayedPeak(now)) {
      backendPeak = open;
      backendPeakAt = now;
    }
  }

  /** Reports how many connections of clients are open. */
  public void setOpenClients(int open) {
    openClients = open;
  }

  /** How many connections of clients there may be now. */
  public int maxClients(long now) {
    double neededByBackends = Math.max(openBackends, decayedPeak(now)) * PEAK_HEADROOM;
    double minForBackends = (double) total / MIN_BACKEND_DIVISOR;
    int reserved = (int) Math.ceil(Math.max(minForBackends, neededByBackends));
    return Math.max(minClients(), total - reserved);
  }

  /** How many connections to backends there may be: what clients leave, one at least. */
  public int maxBackends() {
    return Math.max(1, total - Math.max(openClients, minClients()));
  }

  private int minClients() {
    return total * MIN_CLIENT_PARTS / PARTS;
  }

  private double decayedPeak(long now) {
    double halfLives = (double) (now - backendPeakAt) / PEAK_HALF_LIFE_NANOS;
    return backendPeak * Math.pow(0.5, Math.min(MAX_HALF_LIVES, halfLives));
  }
}
