package rushwood.decision;

import java.util.PriorityQueue;

/** The due times of one router in order; equal times in the order of their coming. */
final class DueTimes {
    private record Due(long at, long order, Held held) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Due> dues = new PriorityQueue<>();
    private long order;

    void add(long at, Held held) {
        dues.add(new Due(at, order++, held));
    }

    /** The earliest time of an access that is not over; no later time than any number if there is none. */
    long earliest() {
        while (!dues.isEmpty() && dues.peek().held().over) {
            dues.poll();
        }
        return dues.isEmpty() ? Long.MAX_VALUE : dues.peek().at();
    }

    Held poll() {
        return dues.poll().held();
    }
}
