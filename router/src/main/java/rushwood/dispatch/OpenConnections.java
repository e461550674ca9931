package rushwood.dispatch;

import rushwood.overload.DescriptorBudget;

/** Counts the open connections to hosts against their share of the file descriptors. */
final class OpenConnections {
  private final DescriptorBudget descriptors;
  private final EventLoopClock clock;
  private int count;

  OpenConnections(DescriptorBudget descriptors, EventLoopClock clock) {
    this.descriptors = descriptors;
    this.clock = clock;
  }

  void opened() {
    update(count + 1);
  }

  void closed() {
    update(count - 1);
  }

  private void update(int changed) {
    count = changed;
    descriptors.setOpenBackends(count, clock.now());
  }

  boolean isAtLimit() {
    return count >= descriptors.maxBackends();
  }
}
