/**
 * The simulator's side of the routing policy: {@link rushwood.simulator.SimulatorAdapter} reads
 * batches of events from standard input, calls the policies of any number of routers and writes
 * what they decide to standard output. No other package uses the words of that protocol, but {@code
 * rushwood.config} for the settings.
 */
@NullMarked
package rushwood.simulator;

import org.jspecify.annotations.NullMarked;
