package rushwood.storm;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import rushwood.api.HostId;

/**
 * Paces connection attempts to hosts that do not take them: after a failure one attempt at a time,
 * with gaps that grow and differ from router to router, until one comes up. A dead host so costs a
 * bounded number of attempts a second whatever the load; and one that comes back is not met by
 * everything that waited for it.
 */
public final class Dials {
  private static final class Dial {
    int opening;
    long gap;
    long nextAt = Long.MIN_VALUE;
  }

  private static final long FIRST_GAP =
      20_000_000L; // a listener that restarts is back within a few of them
  private static final long LONGEST_GAP =
      500_000_000L; // as often as the decisions probe a host that is down

  private final Map<HostId, Dial> dials = new LinkedHashMap<>();
  private final RandomGenerator chance;
  private final boolean on;

  public Dials(RandomGenerator chance, boolean on) {
    this.chance = chance;
    this.on = on;
  }

  /** Whether an attempt may be made now. */
  public boolean may(HostId host, long now) {
    Dial dial = dials.get(host);
    return !on || dial == null || dial.gap == 0 || dial.opening == 0 && now >= dial.nextAt;
  }

  public void begun(HostId host) {
    if (on) {
      dials.computeIfAbsent(host, each -> new Dial()).opening++;
    }
  }

  public void opened(HostId host) {
    Dial dial = ended(host);
    if (dial != null) {
      dial.gap = 0;
    }
  }

  public void failed(HostId host, long now) {
    Dial dial = ended(host);
    if (dial != null
        && now >= dial.nextAt) { // those that were begun together fail together, and are one sign
      dial.gap = Math.min(LONGEST_GAP, Math.max(FIRST_GAP, 2 * dial.gap));
      dial.nextAt = now + dial.gap / 2 + chance.nextLong(dial.gap);
    }
  }

  /** It was called off while it was coming up: that says nothing. */
  public void calledOff(HostId host) {
    ended(host);
  }

  /** An attempt is over; null if its host has been forgotten meanwhile. */
  private Dial ended(HostId host) {
    Dial dial = dials.get(host);
    if (dial != null) {
      dial.opening = Math.max(0, dial.opening - 1);
    }
    return dial;
  }

  public void forget(HostId host) {
    dials.remove(host);
  }

  public int known() {
    return dials.size();
  }
}
