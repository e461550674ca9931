/** The decisions: {@code Choice} makes them all, the other files only hold what it remembers. */
package rushwood.policy;
