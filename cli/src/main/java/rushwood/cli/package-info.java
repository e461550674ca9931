/**
 * The command line {@code bin/rushwood}: its sub-commands, exit codes and the JSON that scripts
 * read. Each command is a class of its own; {@link rushwood.cli.Rushwood} is the entry point.
 */
@NullMarked
package rushwood.cli;

import org.jspecify.annotations.NullMarked;
