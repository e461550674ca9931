/** Reports: results as JSON, and as an HTML page with plots that sets builds side by side. */
package rushwood.testbed.report;
