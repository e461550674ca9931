package rushwood.testbed.simulation;

import rushwood.testbed.load.ExperimentResult;

/** The objects and latencies that all parts of one simulation share. */
record SimulationContext(
    EventQueue events, VirtualStore store, SimulationCounts counts, ExperimentResult result) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The latency of a message between any two parties, as within a data centre. */
  static final long ONE_WAY_LATENCY_NANOS = NANOS_PER_MILLI / 2;

  /** The time until a connection is established or refused, or a health check ends. */
  static final long ROUND_TRIP_NANOS = 2 * ONE_WAY_LATENCY_NANOS;
}
