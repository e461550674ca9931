/**
 * Formats the results of experiments as JSON, and as an HTML page that compares several results in
 * a table and plots.
 */
@NullMarked
package rushwood.testbed.report;

import org.jspecify.annotations.NullMarked;
