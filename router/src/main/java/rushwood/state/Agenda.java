package rushwood.state;

import java.util.PriorityQueue;

/** All due times of a router in order, equal ones as they came, on one timer. */
public final class Agenda {
  /** The timer: runs a task once, so many nanoseconds from now; a new setting replaces the last. */
  public interface Timer {
    void set(long delay, Runnable task);
  }

  /** Something due; it can be called off. */
  public static final class Entry implements Comparable<Entry> {
    private final long at;
    private final long order;
    private Runnable task;

    private Entry(long at, long order, Runnable task) {
      this.at = at;
      this.order = order;
      this.task = task;
    }

    /** Whether it was still to come. */
    public boolean callOff() {
      boolean was = task != null;
      task = null;
      return was;
    }

    @Override
    public int compareTo(Entry other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  private static final long PAUSED =
      10_000_000; // this late, the process stood still: some loop turns

  private final PriorityQueue<Entry> entries = new PriorityQueue<>();
  private final Clock clock;
  private final Timer timer;
  private final Counters counters;
  private long order;
  private long set = Long.MAX_VALUE;
  private boolean readFirst;

  public Agenda(Clock clock, Timer timer, Counters counters) {
    this.clock = clock;
    this.timer = timer;
    this.counters = counters;
  }

  public Entry add(long at, Runnable task) {
    Entry entry = new Entry(at, order++, task);
    entries.add(entry);
    arm();
    return entry;
  }

  private void arm() {
    while (!entries.isEmpty() && entries.peek().task == null) {
      entries.poll();
    }
    if (!entries.isEmpty() && entries.peek().at < set) {
      set = entries.peek().at;
      timer.set(Math.max(0, set - clock.now()), this::fire);
    }
  }

  /**
   * After a pause the sockets hold answers that came in time: they get a turn before what is due,
   * so that no answer that is already here is taken for one that never came.
   */
  private void fire() {
    long now = clock.now();
    if (!readFirst && now - set > PAUSED) {
      readFirst = true;
      timer.set(0, this::fire);
      return;
    }
    readFirst = false;
    set = Long.MIN_VALUE; // nothing is set anew until the due are through
    try {
      while (!entries.isEmpty() && entries.peek().at <= now) {
        Entry next = entries.poll();
        Runnable task = next.task;
        next.task = null;
        if (task != null) {
          counters.safely(task);
        }
      }
    } finally {
      set = Long.MAX_VALUE;
      arm();
    }
  }
}
