package rushwood.storm;

/**
 * Divides the sockets that a process may hold between clients and hosts by what hosts turn out to
 * need: connections to hosts are busy and few, those of clients rest and are many, and a fixed
 * division left a third of the sockets unused while clients found no room. Hosts keep a quarter
 * above their late peak; what they need beyond that comes back to them as resting clients go.
 */
public final class Sockets {
  private static final int CLIENT_PARTS =
      3; // of five at the least: clients hold idle connections, hosts busy ones
  private static final int PARTS = 5;
  private static final int LEAST_PART =
      8; // an eighth is for hosts whatever they use: a start, an outage's first moment
  private static final double SPARE =
      1.25; // of the peak: a burst finds room before clients have gone
  private static final long FORGETS =
      10_000_000_000L; // half of a peak is forgotten in so long: a calm stretch

  private final int all;
  private double peak;
  private long peakAt = Long.MIN_VALUE / 2;
  private int hosts;
  private int clients;

  public Sockets(int all) {
    this.all = Math.max(PARTS, all);
  }

  public void hosts(int open, long now) {
    hosts = open;
    double late = peak * Math.pow(0.5, Math.min(64, (double) (now - peakAt) / FORGETS));
    if (open >= late) {
      peak = open;
      peakAt = now;
    }
  }

  public void clients(int open) {
    clients = open;
  }

  /** How many clients may be here now. */
  public int forClients(long now) {
    double late = peak * Math.pow(0.5, Math.min(64, (double) (now - peakAt) / FORGETS));
    int kept = (int) Math.ceil(Math.max((double) all / LEAST_PART, Math.max(hosts, late) * SPARE));
    return Math.max(all * CLIENT_PARTS / PARTS, all - kept);
  }

  /**
   * How many connections to hosts there may be now: their part, and what clients leave of the rest.
   */
  public int forHosts() {
    return Math.max(1, all - Math.max(clients, all * CLIENT_PARTS / PARTS));
  }
}
