/**
 * Manages requests in flight and their attempts, the connection pool, timers and counters of a
 * running router.
 *
 * <p>{@link rushwood.dispatch.RequestDispatcher} is the entry point. It reports network events to
 * the routing policy and executes the actions that the policy orders. All types of this package are
 * used on the single event loop thread only, and none is synchronized.
 */
@NullMarked
package rushwood.dispatch;

import org.jspecify.annotations.NullMarked;
