/**
 * Experiments: their files, clients, runs on sockets against router processes, and results. {@link
 * rushwood.testbed.load.Experiment} reads a file, {@link rushwood.testbed.load.SocketExperiment}
 * runs it on sockets. {@code testbed/README.md} lists the experiments and the names in reports.
 */
@NullMarked
package rushwood.testbed.load;

import org.jspecify.annotations.NullMarked;
