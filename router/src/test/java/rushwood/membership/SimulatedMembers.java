package rushwood.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/**
 * Members on a virtual clock that send each other encoded datagrams, with loss, delay, partitions,
 * stalls (as by SIGSTOP: datagrams wait in the socket), crashes and restarts. The same seed gives
 * the same run.
 */
final class SimulatedMembers {
  static final long MILLISECOND = 1_000_000L;
  static final long SECOND = 1_000 * MILLISECOND;
  static final long START = 1_796_000_000L * SECOND; // Unix time in December 2026

  private static final int MAX_SAMPLES = 64;

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

  /** The first datagrams sent. */
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

  /** Starts a member, or restarts it at the same address. */
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

  /** Cuts or restores the links between the members below {@code edge} and the others. */
  void setPartitioned(int edge, boolean partitioned) {
    for (int a = 0; a < members.length; a++) {
      for (int b = 0; b < members.length; b++) {
        linkCut[a][b] = partitioned && (a < edge) != (b < edge);
      }
    }
  }

  /** Delivers datagrams and runs timers in the order of their times, for {@code span} ns. */
  void runFor(long span) {
    long endAt = now + span;
    while (true) {
      long next = endAt;
      int nextMember = -1;
      for (int i = 0; i < members.length; i++) {
        long due = Math.max(members[i].nextTickAt(), stalledUntil[i]);
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
    PeerMessage message =
        DatagramCodec.decode(datagram.bytes(), datagram.bytes().length)
            .orElseThrow(() -> new AssertionError("a sent datagram cannot be decoded"));
    send(to, members[to].received(now, ids.get(datagram.from()), message));
  }

  void send(int from, List<OutgoingMessage> messages) {
    for (OutgoingMessage outgoing : messages) {
      byte[] encoded = DatagramCodec.encode(outgoing.message());
      if (encoded.length > DatagramCodec.MAX_BYTES) {
        throw new AssertionError(encoded.length + " bytes in one datagram");
      }
      sentDatagrams++;
      sentBytes += encoded.length;
      int to = ids.indexOf(outgoing.to());
      if (sampleDatagrams.size() < MAX_SAMPLES) {
        sampleDatagrams.add(encoded);
      }
      if (to < 0 || linkCut[from][to] || networkRandom.nextDouble() < lossRate) {
        continue;
      }
      inFlight.add(
          new Datagram(
              now + MILLISECOND / 2 + networkRandom.nextLong(2 * MILLISECOND),
              order++,
              from,
              to,
              encoded));
    }
  }

  /** The state of a member in the view of another. */
  MemberState stateSeenBy(int viewer, int member) {
    return members[viewer].stateOf(ids.get(member)).orElseThrow();
  }

  /** Whether every member that is up holds {@code member} in {@code state}. */
  boolean allSee(int member, MemberState state) {
    for (int i = 0; i < members.length; i++) {
      if (i != member && !crashed[i] && stateSeenBy(i, member) != state) {
        return false;
      }
    }
    return true;
  }

  /**
   * The first time, stepping by {@code step}, at which the condition holds; -1 if not within {@code
   * span}.
   */
  long timeUntil(BooleanSupplier condition, long step, long span) {
    long from = now;
    while (now - from <= span) {
      if (condition.getAsBoolean()) {
        return now - from;
      }
      runFor(step);
    }
    return -1;
  }

  /** Pairs of a member that is up and another that it holds dead. */
  long deadViews() {
    long count = 0;
    for (int i = 0; i < members.length; i++) {
      for (int j = 0; j < members.length; j++) {
        if (!crashed[i] && i != j && stateSeenBy(i, j) == MemberState.DEAD) {
          count++;
        }
      }
    }
    return count;
  }
}
