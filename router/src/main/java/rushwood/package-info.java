/**
 * A router of reads and writes in a replicated database store. {@link rushwood.Main} is the
 * command-line entry point; {@code docs/architecture.md} describes how the packages work together.
 */
package rushwood;
