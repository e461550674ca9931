/**
 * Runs routing policies in the simulator: {@link rushwood.simulator.SimulatorAdapter} reads batches
 * of events from standard input, delivers them to the policies of any number of routers and writes
 * the actions of the policies to standard output.
 *
 * <p>Only this package uses the names of the simulator protocol, except that {@code
 * rushwood.config} decodes the settings in it.
 */
@NullMarked
package rushwood.simulator;

import org.jspecify.annotations.NullMarked;
