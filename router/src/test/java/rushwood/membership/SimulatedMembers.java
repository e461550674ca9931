package rushwood.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/**
 * Simulates members that send each other encoded datagrams on a virtual clock. Supports datagram
 * loss and delay, partitions, crashes, restarts, and stalls, during which a member's datagrams wait
 * as they would in the socket of a process stopped by SIGSTOP. A run is determined by its seed.
 */
final class SimulatedMembers {
  static final long MILLISECOND = 1_000_000L;
  static final long SECOND = 1_000 * MILLISECOND;

  /** Start of the virtual clock: a Unix time in November 2026, in nanoseconds. */
  static final long START = 1_796_000_000L * SECOND;

  private static final int MAX_SAMPLE_DATAGRAMS = 64;

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
  private long nextOrder;
  long now = START;
  double lossRate;
  long sentDatagrams;
  long sentBytes;

  /** The first datagrams sent, at most {@link #MAX_SAMPLE_DATAGRAMS}. */
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

  /** Pauses a member for {@code durationNanos}; its datagrams and timers wait. */
  void stall(int i, long durationNanos) {
    stalledUntil[i] = now + durationNanos;
  }

  /** Cuts or restores the links between the members below {@code firstOfOtherSide} and the rest. */
  void setPartitioned(int firstOfOtherSide, boolean partitioned) {
    for (int a = 0; a < members.length; a++) {
      for (int b = 0; b < members.length; b++) {
        linkCut[a][b] = partitioned && (a < firstOfOtherSide) != (b < firstOfOtherSide);
      }
    }
  }

  /** Delivers datagrams and runs timers in time order for {@code durationNanos}. */
  void runFor(long durationNanos) {
    long endAt = now + durationNanos;
    while (true) {
      long nextAt = endAt;
      int nextMember = -1;
      for (int i = 0; i < members.length; i++) {
        long tickAt = Math.max(members[i].nextTickAt(), stalledUntil[i]);
        if (!crashed[i] && tickAt < nextAt) {
          nextAt = tickAt;
          nextMember = i;
        }
      }
      Datagram datagram = inFlight.peek();
      if (datagram != null && datagram.arrivesAt() <= nextAt) {
        inFlight.poll();
        now = Math.max(now, datagram.arrivesAt());
        deliver(datagram);
        continue;
      }
      if (nextMember < 0) {
        now = endAt;
        return;
      }
      now = Math.max(now, nextAt);
      send(nextMember, members[nextMember].tick(now));
    }
  }

  private void deliver(Datagram datagram) {
    int to = datagram.to();
    if (crashed[to]) {
      return;
    }
    if (stalledUntil[to] > now) {
      inFlight.add(
          new Datagram(stalledUntil[to], nextOrder++, datagram.from(), to, datagram.bytes()));
      return;
    }
    PeerMessage message =
        DatagramCodec.decode(datagram.bytes(), datagram.bytes().length)
            .orElseThrow(() -> new AssertionError("a sent datagram cannot be decoded"));
    send(to, members[to].handleMessage(now, ids.get(datagram.from()), message));
  }

  void send(int from, List<OutgoingMessage> messages) {
    for (OutgoingMessage outgoing : messages) {
      byte[] encoded = DatagramCodec.encode(outgoing.message());
      if (encoded.length > DatagramCodec.MAX_BYTES) {
        throw new AssertionError("datagram of " + encoded.length + " bytes");
      }
      sentDatagrams++;
      sentBytes += encoded.length;
      int to = ids.indexOf(outgoing.to());
      if (sampleDatagrams.size() < MAX_SAMPLE_DATAGRAMS) {
        sampleDatagrams.add(encoded);
      }
      if (to < 0 || linkCut[from][to] || networkRandom.nextDouble() < lossRate) {
        continue;
      }
      inFlight.add(
          new Datagram(
              now + MILLISECOND / 2 + networkRandom.nextLong(2 * MILLISECOND),
              nextOrder++,
              from,
              to,
              encoded));
    }
  }

  /** Returns the state of {@code member} in the view of {@code viewer}. */
  MemberState stateSeenBy(int viewer, int member) {
    return members[viewer].stateOf(ids.get(member)).orElseThrow();
  }

  /** Returns whether {@code member} has {@code state} in the views of all other running members. */
  boolean allSee(int member, MemberState state) {
    for (int i = 0; i < members.length; i++) {
      if (i != member && !crashed[i] && stateSeenBy(i, member) != state) {
        return false;
      }
    }
    return true;
  }

  /**
   * Runs until a condition is true, checking it every {@code stepNanos}.
   *
   * @return the elapsed nanoseconds; -1 if the condition is not true within {@code timeoutNanos}
   */
  long timeUntil(BooleanSupplier condition, long stepNanos, long timeoutNanos) {
    long startedAt = now;
    while (now - startedAt <= timeoutNanos) {
      if (condition.getAsBoolean()) {
        return now - startedAt;
      }
      runFor(stepNanos);
    }
    return -1;
  }

  /** Returns the number of pairs of a running member and another that it considers dead. */
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
