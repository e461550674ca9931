/**
 * Overload control: detects overload, limits retries and connection attempts to hosts, and tells
 * rejected clients when to retry.
 *
 * <p>{@link rushwood.overload.OverloadController} decorates the routing policy and answers it
 * through {@link rushwood.api.OverloadSignals}. The connection pool uses {@link
 * rushwood.overload.ConnectBackoff} and {@link rushwood.overload.DescriptorBudget}; the client
 * connections use {@link rushwood.overload.ConnectionAdmission} and the same budget. The design,
 * its alternatives and figures are in {@code docs/design-overload.md}.
 *
 * <p>The package does no I/O, starts no threads and reads no clock: callers pass the time in
 * nanoseconds, on a clock that never goes back, and a seeded random generator. No class is
 * thread-safe; all are confined to the event loop that calls them.
 */
@NullMarked
package rushwood.overload;

import org.jspecify.annotations.NullMarked;
