/**
 * A router of reads and writes in a replicated store. {@link rushwood.Main} is the command line;
 * {@code docs/architecture.md} shows how the packages work together.
 */
package rushwood;
