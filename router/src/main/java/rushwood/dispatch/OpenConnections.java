package rushwood.dispatch;

import rushwood.overload.DescriptorBudget;

/** Counts the open connections to hosts, also against their share of the file descriptors. */
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
    update(count + 1);
  }

  void closed() {
    counters.increment(Counter.CONNECTIONS_CLOSED);
    update(count - 1);
  }

  private void update(int changed) {
    count = changed;
    descriptors.setOpenBackendConnections(count, clock.now());
  }

  boolean isAtLimit() {
    return count >= descriptors.maxBackendConnections();
  }
}
