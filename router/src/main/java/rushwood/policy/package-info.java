/**
 * The routing policy: decides which host gets a request and when, whether it is retried, and
 * whether it is rejected. {@link rushwood.policy.DefaultRoutingPolicy} is the entry point, {@code
 * RequestDecider} lists the cases in which a request is sent, waits, is rejected or fails; {@code
 * docs/design.md} explains them.
 *
 * <p>The files that {@code policy} names in {@code deploy/balancer.toml} make all decisions and
 * contain all numeric constants. The other types
 *
 * <ul>
 *   <li>carry out decisions: {@code RequestLifecycle}, {@code AttemptSender}, {@code
 *       AttemptResultRecorder}, {@code WaitQueueDispatcher}, {@code RequestExpiry}, {@code
 *       FinalAnswers};
 *   <li>are results of decisions: {@code Decision}, {@code EndReason};
 *   <li>hold state: {@code HostTable}, {@code HostState}, {@code HostHealth}, {@code
 *       ReplicationState}, {@code ConcurrencyState}, {@code SlowStartState}, {@code GroupState},
 *       {@code PendingRequests}, {@code PendingRequest}, {@code Attempt}, {@code InFlightAttempts},
 *       {@code SessionWrites};
 *   <li>are mechanisms without constants of their own: {@code WaitQueue}, {@code DeadlineQueue},
 *       {@code TokenBucket}, {@code ExponentialAverage};
 *   <li>wire the components together: {@code PolicyComponents}.
 * </ul>
 *
 * <p>Nothing here is synchronized: one thread calls a policy. Times are nanoseconds of the caller's
 * clock.
 */
@NullMarked
package rushwood.policy;

import org.jspecify.annotations.NullMarked;
