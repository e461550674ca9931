package rushwood.overload;

import rushwood.api.Times;

/**
 * Divides the sockets that the process may hold between clients and backends, by what backends turn
 * out to need.
 *
 * <p>Connections to backends are few and busy, those of clients are many and mostly idle. The rule:
 *
 * <ul>
 *   <li>Backends have a quarter more than their recent peak ({@link #BACKEND_HEADROOM}), and {@link
 *       #MIN_BACKEND_SHARE} at least; if they need more, the limit of clients falls at the next
 *       accept; until then only idle connections to backends make room.
 *   <li>Clients have the rest, and {@link #MIN_CLIENT_PERCENT} of all sockets at least.
 * </ul>
 *
 * <p>Counts are of sockets, times are clock times in nanoseconds.
 */
public final class DescriptorBudget {
  private static final int MIN_TOTAL = 5;
  private static final int MIN_CLIENT_PERCENT = 60;
  // For a start, and for the first moment of an outage.
  private static final double MIN_BACKEND_SHARE = 0.125;
  // A burst of connections to backends finds room before clients are closed.
  private static final double BACKEND_HEADROOM = 1.25;
  private static final long PEAK_HALF_LIFE_NANOS = 10_000_000_000L;

  private final int total;
  private double backendPeak;
  private long backendPeakAt = Times.LONG_AGO;
  private int openBackends;
  private int openClients;

  /** Creates the budget of {@code total} sockets, five at least. */
  public DescriptorBudget(int total) {
    this.total = Math.max(MIN_TOTAL, total);
  }

  /** Reports how many connections to backends are open or opening. */
  public void setOpenBackendConnections(int open, long now) {
    openBackends = open;
    if (open >= decayedPeak(now)) {
      backendPeak = open;
      backendPeakAt = now;
    }
  }

  /** Reports how many connections of clients are open. */
  public void setOpenClientConnections(int open) {
    openClients = open;
  }

  /** How many connections of clients there may be now. */
  public int maxClientConnections(long now) {
    double neededByBackends = Math.max(openBackends, decayedPeak(now)) * BACKEND_HEADROOM;
    double minForBackends = total * MIN_BACKEND_SHARE;
    int reserved = (int) Math.ceil(Math.max(minForBackends, neededByBackends));
    return Math.max(minClients(), total - reserved);
  }

  /** How many connections to backends there may be: what clients leave, one at least. */
  public int maxBackendConnections() {
    return Math.max(1, total - Math.max(openClients, minClients()));
  }

  private int minClients() {
    return total * MIN_CLIENT_PERCENT / 100;
  }

  private double decayedPeak(long now) {
    double halfLives = (double) (now - backendPeakAt) / PEAK_HALF_LIFE_NANOS;
    return backendPeak * Math.pow(0.5, halfLives);
  }
}
