package rushwood.testbed.simulation;

import rushwood.testbed.load.ExperimentResult;

/** What all parts of one simulation share. */
record SimulationContext(
    EventQueue events, VirtualStore store, SimulationCounts counts, ExperimentResult result) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The time that a message takes from any party to any other, as within a data centre. */
  static final long ONE_WAY_LATENCY = NANOS_PER_MILLI / 2;

  /** The time until a connection is open, or refused. */
  static final long ROUND_TRIP = 2 * ONE_WAY_LATENCY;
}
