package rushwood.net;

import rushwood.dispatch.Counters;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.TurnBudget;
import rushwood.protocol.ClientMemory;

/**
 * What all client connections share.
 *
 * @param memory holds the input of all clients and the output to them
 * @param readBudget the time for reading clients in a turn of the event loop
 * @param processing the tasks that process what was read
 * @param rejectionTime the time that it takes to reject a request that waits behind others
 */
record FrontendContext(
    EventLoopClock clock,
    Counters counters,
    ConnectionRegistry registry,
    LingeringConnections lingeringConnections,
    ClientMemory memory,
    TurnBudget readBudget,
    TurnTaskQueue processing,
    RejectionTimeEstimate rejectionTime) {

  /** Each; a turn that reads and processes counts as no pause, and no timer is late. */
  private static final long MAX_NANOS_PER_TURN = 15_000_000L;

  FrontendContext(
      EventLoopClock clock,
      Counters counters,
      ConnectionRegistry registry,
      LingeringConnections lingeringConnections,
      ClientMemory memory) {
    this(
        clock,
        counters,
        registry,
        lingeringConnections,
        memory,
        new TurnBudget(clock, MAX_NANOS_PER_TURN),
        new TurnTaskQueue(new TurnBudget(clock, MAX_NANOS_PER_TURN)),
        new RejectionTimeEstimate());
  }
}
