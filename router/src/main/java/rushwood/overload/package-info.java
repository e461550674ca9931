/**
 * Overload control: detects overload, limits retries and connection attempts towards hosts, and
 * tells clients when to come back.
 *
 * <p>{@link rushwood.overload.OverloadController} decorates the routing policy, which asks it
 * through {@link rushwood.api.OverloadSignals}. The connection pool and the client connections ask
 * {@link rushwood.overload.ConnectionAdmission}, {@link rushwood.overload.ConnectBackoff} and
 * {@link rushwood.overload.DescriptorBudget}. Options, choice and figures: {@code
 * docs/design-overload.md}.
 *
 * <p>The package does no I/O, starts no threads and reads no clock: callers pass the time in
 * nanoseconds on a clock that never goes back, and a seeded random generator. No class is
 * thread-safe; all belong to the event loop that calls them.
 */
@NullMarked
package rushwood.overload;

import org.jspecify.annotations.NullMarked;
