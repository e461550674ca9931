package rushwood.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A tier of members on a virtual clock, each datagram through the codec: loss, delay, links cut one
 * way, stalls (SIGSTOP: what comes waits in the socket), crashes and restarts. Seeded: the same run
 * every time.
 */
final class Tier {
  static final long MS = 1_000_000L;
  static final long SECOND = 1_000 * MS;
  static final long START = 1_796_000_000L * SECOND; // Unix time in December 2026

  private record Flight(long at, long order, int from, int to, byte[] bytes) {}

  final List<MemberId> ids = new ArrayList<>();
  final Membership[] nodes;
  final boolean[] down;
  final long[] stalledUntil;
  final boolean[][] cut;
  final FleetSettings settings;
  private final PriorityQueue<Flight> flights =
      new PriorityQueue<>(Comparator.comparingLong(Flight::at).thenComparingLong(Flight::order));
  private final SplittableRandom net;
  private long order;
  long now = START;
  double loss;
  long sent;
  long bytes;
  final List<byte[]> late = new ArrayList<>();

  Tier(int size, long seed, FleetSettings settings) {
    this.settings = settings;
    net = new SplittableRandom(seed);
    for (int i = 0; i < size; i++) {
      ids.add(new MemberId(0x7f000001 + i, 7000 + i));
    }
    nodes = new Membership[size];
    down = new boolean[size];
    stalledUntil = new long[size];
    cut = new boolean[size][size];
    for (int i = 0; i < size; i++) {
      start(i);
    }
  }

  void start(int i) {
    down[i] = false;
    nodes[i] = new Membership(ids.get(i), ids, settings, net.nextLong(), now);
  }

  void crash(int i) {
    down[i] = true;
  }

  void stall(int i, long span) {
    stalledUntil[i] = now + span;
  }

  /** Two sides: each member below {@code edge} hears none above, and the other way round. */
  void split(int edge, boolean on) {
    for (int a = 0; a < nodes.length; a++) {
      for (int b = 0; b < nodes.length; b++) {
        cut[a][b] = on && (a < edge) != (b < edge);
      }
    }
  }

  void run(long span) {
    long until = now + span;
    while (true) {
      long next = until;
      int who = -1;
      for (int i = 0; i < nodes.length; i++) {
        long due = Math.max(nodes[i].nextDue(), stalledUntil[i]);
        if (!down[i] && due < next) {
          next = due;
          who = i;
        }
      }
      Flight flight = flights.peek();
      if (flight != null && flight.at() <= next) {
        flights.poll();
        now = Math.max(now, flight.at());
        deliver(flight);
        continue;
      }
      if (who < 0) {
        now = until;
        return;
      }
      now = Math.max(now, next);
      post(who, nodes[who].tick(now));
    }
  }

  private void deliver(Flight flight) {
    int to = flight.to();
    if (down[to]) {
      return;
    }
    if (stalledUntil[to] > now) {
      flights.add(new Flight(stalledUntil[to], order++, flight.from(), to, flight.bytes()));
      return;
    }
    Message message = Datagrams.decode(flight.bytes(), flight.bytes().length);
    if (message == null) {
      throw new AssertionError("a datagram of ours did not decode");
    }
    post(to, nodes[to].received(now, ids.get(flight.from()), message));
  }

  void post(int from, List<Membership.Out> outs) {
    for (Membership.Out out : outs) {
      byte[] encoded = Datagrams.encode(out.message());
      if (encoded.length > Datagrams.MOST) {
        throw new AssertionError(encoded.length + " bytes in one datagram");
      }
      sent++;
      bytes += encoded.length;
      int to = ids.indexOf(out.to());
      if (late.size() < 64) {
        late.add(encoded);
      }
      if (to < 0 || cut[from][to] || net.nextDouble() < loss) {
        continue;
      }
      flights.add(new Flight(now + MS / 2 + net.nextLong(2 * MS), order++, from, to, encoded));
    }
  }

  /** Whether every member that is up holds {@code member} in {@code state}. */
  boolean everywhere(int member, MemberState state) {
    for (int i = 0; i < nodes.length; i++) {
      if (i != member && !down[i] && nodes[i].stateOf(ids.get(member)) != state) {
        return false;
      }
    }
    return true;
  }

  /**
   * The first time, stepping by {@code step}, at which the condition holds; -1 if not within {@code
   * span}.
   */
  long until(java.util.function.BooleanSupplier condition, long step, long span) {
    long from = now;
    while (now - from <= span) {
      if (condition.getAsBoolean()) {
        return now - from;
      }
      run(step);
    }
    return -1;
  }

  long dead() {
    long count = 0;
    for (int i = 0; i < nodes.length; i++) {
      for (int j = 0; j < nodes.length; j++) {
        count += !down[i] && i != j && nodes[i].stateOf(ids.get(j)) == MemberState.DEAD ? 1 : 0;
      }
    }
    return count;
  }
}
