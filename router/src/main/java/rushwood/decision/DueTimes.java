package rushwood.decision;

import java.util.PriorityQueue;
import rushwood.api.Outlet;

/** The due times of one router in order, equal times as they came, and the one wake asked for. */
final class DueTimes {
  private record Due(long at, long order, Held held) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Due> dues = new PriorityQueue<>();
  private final Outlet outlet;
  private long order;
  private long asked = Long.MAX_VALUE;

  DueTimes(Outlet outlet) {
    this.outlet = outlet;
  }

  void add(long at, Held held) {
    dues.add(new Due(at, order++, held));
    wake(at);
  }

  /** The next access that is due by now and not over, or null. */
  Held next(long now) {
    return earliest() <= now ? dues.poll().held() : null;
  }

  private long earliest() {
    while (!dues.isEmpty() && dues.peek().held().over) {
      dues.poll();
    }
    return dues.isEmpty() ? Long.MAX_VALUE : dues.peek().at();
  }

  void wake(long at) {
    if (at < asked) {
      asked = at;
      outlet.wake(at);
    }
  }

  /**
   * Asks for the next wake, at that time or the earliest due; called once the last one has come.
   */
  void again(long at) {
    asked = Long.MAX_VALUE;
    wake(Math.min(at, earliest()));
  }
}
