/**
 * Writes results as JSON, and as an HTML page with plots that sets several results side by side.
 */
@NullMarked
package rushwood.testbed.report;

import org.jspecify.annotations.NullMarked;
