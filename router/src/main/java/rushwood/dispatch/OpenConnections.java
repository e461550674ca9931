package rushwood.dispatch;

import rushwood.overload.DescriptorBudget;

/** Counts the open connections to hosts and reports their number to the descriptor budget. */
final class OpenConnections {
  private final DescriptorBudget descriptors;
  private final EventLoopClock clock;
  private final Counters counters;
  private int count;

  OpenConnections(DescriptorBudget descriptors, EventLoopClock clock, Counters counters) {
    this.descriptors = descriptors;
    this.clock = clock;
    this.counters = counters;
  }

  void opened() {
    counters.increment(Counter.CONNECTIONS_OPENED);
    setCount(count + 1);
  }

  void closed() {
    counters.increment(Counter.CONNECTIONS_CLOSED);
    setCount(count - 1);
  }

  private void setCount(int newCount) {
    count = newCount;
    descriptors.setOpenBackendConnections(count, clock.now());
  }

  /** Returns whether no further connection may be opened within the descriptor budget. */
  boolean isAtLimit() {
    return count >= descriptors.maxBackendConnections();
  }
}
