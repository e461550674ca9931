/**
 * The routing policy: decides which host gets a request and when, whether it is retried, and
 * whether it is rejected. {@link rushwood.policy.DefaultRoutingPolicy} is the entry point; {@code
 * docs/design.md} has the reasons.
 *
 * <p>The files that {@code policy} names in {@code deploy/balancer.toml} hold every decision and
 * every tuned value: retries, deadlines, freshness, the primary, replica selection, concurrency
 * limits, slow start, outliers, lost answers, health checks and the order of the wait queue. All
 * other classes carry requests along ({@code RequestLifecycle}), wire the parts together ({@code
 * PolicyComponents}), hold state ({@code HostTable}, {@code HostState}, {@code HostHealth}, {@code
 * ConcurrencyState}, {@code ReplicationState}, {@code SlowStartState}, {@code GroupState}, {@code
 * PendingRequests}, {@code PendingRequest}, {@code Attempt}, {@code InFlightAttempts}, {@code
 * SessionWrites}) or are mechanisms without a value of their own ({@code WaitQueue}, {@code
 * DeadlineQueue}, {@code TokenBucket}, {@code ExponentialAverage}).
 *
 * <p>Nothing here is synchronized: one thread calls a policy. Times are nanoseconds of the caller's
 * clock.
 */
package rushwood.policy;
