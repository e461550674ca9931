package rushwood.overload;

/**
 * Divides the sockets that a process may hold between clients and hosts by what hosts turn out to
 * need: connections to hosts are busy and few, those of clients rest and are many, and a fixed
 * division left a third of the sockets unused while clients found no room. Hosts keep a quarter
 * above their late peak; what they need beyond that comes back to them as resting clients go.
 */
public final class DescriptorBudget {
  private static final int MIN_CLIENT_PARTS =
      3; // of five at the least: clients hold idle connections, hosts busy ones
  private static final int PARTS = 5;
  private static final int MIN_BACKEND_DIVISOR =
      8; // an eighth is for hosts whatever they use: a start, an outage's first moment
  private static final double PEAK_HEADROOM =
      1.25; // of the peak: a burst finds room before clients have gone
  private static final long PEAK_HALF_LIFE_NANOS =
      10_000_000_000L; // half of a peak is forgotten in so long: a calm stretch

  private final int total;
  private double backendPeak;
  private long backendPeakAt = Long.MIN_VALUE / 2;
  private int hosts;
  private int clients;

  public DescriptorBudget(int total) {
    this.total = Math.max(PARTS, total);
  }

  public void setOpenBackends(int open, long now) {
    hosts = open;
    double decayedPeak =
        backendPeak
            * Math.pow(0.5, Math.min(64, (double) (now - backendPeakAt) / PEAK_HALF_LIFE_NANOS));
    if (open >= decayedPeak) {
      backendPeak = open;
      backendPeakAt = now;
    }
  }

  public void setOpenClients(int open) {
    clients = open;
  }

  /** How many clients may be here now. */
  public int maxClients(long now) {
    double decayedPeak =
        backendPeak
            * Math.pow(0.5, Math.min(64, (double) (now - backendPeakAt) / PEAK_HALF_LIFE_NANOS));
    int reserved =
        (int)
            Math.ceil(
                Math.max(
                    (double) total / MIN_BACKEND_DIVISOR,
                    Math.max(hosts, decayedPeak) * PEAK_HEADROOM));
    return Math.max(total * MIN_CLIENT_PARTS / PARTS, total - reserved);
  }

  /**
   * How many connections to hosts there may be now: their part, and what clients leave of the rest.
   */
  public int maxBackends() {
    return Math.max(1, total - Math.max(clients, total * MIN_CLIENT_PARTS / PARTS));
  }
}
