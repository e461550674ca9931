package rushwood.membership;

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
final class SimulatedMembers {
  static final long MS = 1_000_000L;
  static final long SECOND = 1_000 * MS;
  static final long START = 1_796_000_000L * SECOND; // Unix time in December 2026

  private record Datagram(long arrivesAt, long order, int from, int to, byte[] bytes) {}

  final List<MemberId> ids = new ArrayList<>();
  final Membership[] members;
  final boolean[] crashed;
  final long[] stalledUntil;
  final boolean[][] linkCut;
  final MembershipSettings settings;
  private final PriorityQueue<Datagram> inFlight =
      new PriorityQueue<>(
          Comparator.comparingLong(Datagram::arrivesAt).thenComparingLong(Datagram::order));
  private final SplittableRandom networkRandom;
  private long order;
  long now = START;
  double lossRate;
  long sentDatagrams;
  long sentBytes;
  final List<byte[]> sampleDatagrams = new ArrayList<>();

  SimulatedMembers(int size, long seed, MembershipSettings settings) {
    this.settings = settings;
    networkRandom = new SplittableRandom(seed);
    for (int i = 0; i < size; i++) {
      ids.add(new MemberId(0x7f000001 + i, 7000 + i));
    }
    members = new Membership[size];
    crashed = new boolean[size];
    stalledUntil = new long[size];
    linkCut = new boolean[size][size];
    for (int i = 0; i < size; i++) {
      start(i);
    }
  }

  void start(int i) {
    crashed[i] = false;
    members[i] = new Membership(ids.get(i), ids, settings, networkRandom.nextLong(), now);
  }

  void crash(int i) {
    crashed[i] = true;
  }

  void stall(int i, long span) {
    stalledUntil[i] = now + span;
  }

  /** Two sides: each member below {@code edge} hears none above, and the other way round. */
  void setPartitioned(int edge, boolean partitioned) {
    for (int a = 0; a < members.length; a++) {
      for (int b = 0; b < members.length; b++) {
        linkCut[a][b] = partitioned && (a < edge) != (b < edge);
      }
    }
  }

  void runFor(long span) {
    long endAt = now + span;
    while (true) {
      long next = endAt;
      int nextMember = -1;
      for (int i = 0; i < members.length; i++) {
        long due = Math.max(members[i].nextDue(), stalledUntil[i]);
        if (!crashed[i] && due < next) {
          next = due;
          nextMember = i;
        }
      }
      Datagram datagram = inFlight.peek();
      if (datagram != null && datagram.arrivesAt() <= next) {
        inFlight.poll();
        now = Math.max(now, datagram.arrivesAt());
        deliver(datagram);
        continue;
      }
      if (nextMember < 0) {
        now = endAt;
        return;
      }
      now = Math.max(now, next);
      send(nextMember, members[nextMember].tick(now));
    }
  }

  private void deliver(Datagram datagram) {
    int to = datagram.to();
    if (crashed[to]) {
      return;
    }
    if (stalledUntil[to] > now) {
      inFlight.add(new Datagram(stalledUntil[to], order++, datagram.from(), to, datagram.bytes()));
      return;
    }
    PeerMessage message = DatagramCodec.decode(datagram.bytes(), datagram.bytes().length);
    if (message == null) {
      throw new AssertionError("a datagram of ours did not decode");
    }
    send(to, members[to].received(now, ids.get(datagram.from()), message));
  }

  void send(int from, List<Membership.OutgoingMessage> messages) {
    for (Membership.OutgoingMessage outgoing : messages) {
      byte[] encoded = DatagramCodec.encode(outgoing.message());
      if (encoded.length > DatagramCodec.MAX_BYTES) {
        throw new AssertionError(encoded.length + " bytes in one datagram");
      }
      sentDatagrams++;
      sentBytes += encoded.length;
      int to = ids.indexOf(outgoing.to());
      if (sampleDatagrams.size() < 64) {
        sampleDatagrams.add(encoded);
      }
      if (to < 0 || linkCut[from][to] || networkRandom.nextDouble() < lossRate) {
        continue;
      }
      inFlight.add(
          new Datagram(now + MS / 2 + networkRandom.nextLong(2 * MS), order++, from, to, encoded));
    }
  }

  /** Whether every member that is up holds {@code member} in {@code state}. */
  boolean allSee(int member, MemberState state) {
    for (int i = 0; i < members.length; i++) {
      if (i != member && !crashed[i] && members[i].stateOf(ids.get(member)) != state) {
        return false;
      }
    }
    return true;
  }

  /**
   * The first time, stepping by {@code step}, at which the condition holds; -1 if not within {@code
   * span}.
   */
  long timeUntil(java.util.function.BooleanSupplier condition, long step, long span) {
    long from = now;
    while (now - from <= span) {
      if (condition.getAsBoolean()) {
        return now - from;
      }
      runFor(step);
    }
    return -1;
  }

  long deadViews() {
    long count = 0;
    for (int i = 0; i < members.length; i++) {
      for (int j = 0; j < members.length; j++) {
        count +=
            !crashed[i] && i != j && members[i].stateOf(ids.get(j)) == MemberState.DEAD ? 1 : 0;
      }
    }
    return count;
  }
}
