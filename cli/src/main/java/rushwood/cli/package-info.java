/**
 * The command line {@code bin/rushwood}: its sub-commands, their exit codes and their JSON output
 * for scripts. Each sub-command has its own class; {@link rushwood.cli.Rushwood} is the entry
 * point.
 */
@NullMarked
package rushwood.cli;

import org.jspecify.annotations.NullMarked;
