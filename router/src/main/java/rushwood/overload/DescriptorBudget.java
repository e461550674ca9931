package rushwood.overload;

import rushwood.api.Times;

/**
 * Divides the sockets that the process may hold between client and backend connections, according
 * to the recent need of the backend connections.
 *
 * <p>Backend connections are few and busy, client connections are many and mostly idle. The rules:
 *
 * <ul>
 *   <li>Backend connections get their recent peak times {@link #BACKEND_HEADROOM}, and at least
 *       {@link #MIN_BACKEND_SHARE} of all sockets. If they need more, the client limit is lowered
 *       at the next accept; until then only idle backend connections make room.
 *   <li>Client connections get the rest, and at least {@link #MIN_CLIENT_PERCENT} of all sockets.
 * </ul>
 *
 * <p>Times are clock times in nanoseconds.
 */
public final class DescriptorBudget {
  private static final int MIN_TOTAL = 5;
  private static final int MIN_CLIENT_PERCENT = 60;
  // Covers a start and the first moment of an outage, when no recent peak is known.
  private static final double MIN_BACKEND_SHARE = 0.125;
  // A burst of backend connections finds room before client connections are closed.
  private static final double BACKEND_HEADROOM = 1.25;
  private static final long PEAK_HALF_LIFE_NANOS = 10_000_000_000L;

  private final int total;
  private double backendPeak;
  private long backendPeakAt = Times.LONG_AGO;
  private int openBackendConnections;
  private int openClientConnections;

  /** Creates a budget of {@code total} sockets; fewer than five count as five. */
  public DescriptorBudget(int total) {
    this.total = Math.max(MIN_TOTAL, total);
  }

  /** Sets how many backend connections are open or being opened. */
  public void setOpenBackendConnections(int open, long now) {
    openBackendConnections = open;
    if (open >= decayedPeak(now)) {
      backendPeak = open;
      backendPeakAt = now;
    }
  }

  /** Sets how many client connections are open. */
  public void setOpenClientConnections(int open) {
    openClientConnections = open;
  }

  /** Returns how many client connections there may be now. */
  public int maxClientConnections(long now) {
    double neededByBackends = Math.max(openBackendConnections, decayedPeak(now)) * BACKEND_HEADROOM;
    double minForBackends = total * MIN_BACKEND_SHARE;
    int reserved = (int) Math.ceil(Math.max(minForBackends, neededByBackends));
    return Math.max(minClientConnections(), total - reserved);
  }

  /**
   * Returns how many backend connections there may be: the sockets that client connections neither
   * use nor are guaranteed, at least one.
   */
  public int maxBackendConnections() {
    return Math.max(1, total - Math.max(openClientConnections, minClientConnections()));
  }

  private int minClientConnections() {
    return total * MIN_CLIENT_PERCENT / 100;
  }

  private double decayedPeak(long now) {
    double halfLives = (double) (now - backendPeakAt) / PEAK_HALF_LIFE_NANOS;
    return backendPeak * Math.pow(0.5, halfLives);
  }
}
