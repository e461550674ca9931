/**
 * The routing policy. {@link rushwood.policy.DefaultRoutingPolicy} is the entry point; the classes
 * that decide (and hold every tuned value) are the files named by {@code policy} in {@code
 * deploy/balancer.toml}. All other classes only keep state or provide a mechanism: {@code
 * PolicyContext}, {@code HostTable}, {@code HostState}, {@code GroupState}, {@code RequestTable},
 * {@code PendingRequest}, {@code Attempt}, {@code WaitQueue}, {@code DeadlineQueue}, {@code
 * ServiceTimes}, {@code SessionWrites}, {@code TokenBucket} and {@code ExponentialAverage}.
 *
 * <p>Nothing here is synchronized: one thread calls a policy. Times are nanoseconds of the caller's
 * clock.
 */
package rushwood.policy;
