/**
 * Writes results as JSON, and as an HTML page with plots that sets several results side by side.
 */
package rushwood.testbed.report;
