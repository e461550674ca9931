/**
 * Requests in flight and their attempts, the connection pool, timers and counters of a running
 * router.
 *
 * <p>{@link rushwood.dispatch.RequestDispatcher} is the entry point. It passes what happens on the
 * network to the routing policy and carries out what the policy decides; it decides nothing itself.
 * Every type of this package is used on the one event loop thread only, and none is synchronized.
 */
@NullMarked
package rushwood.dispatch;

import org.jspecify.annotations.NullMarked;
