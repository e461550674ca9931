package rushwood.dispatch;

import rushwood.overload.ConnectBackoff;
import rushwood.overload.DescriptorBudget;

/**
 * The configuration of the dispatcher and its connection pool.
 *
 * @param descriptors limits the number of connections to hosts by the available file descriptors
 * @param backoff spaces out attempts to connect to a host that does not accept connections
 * @param connectTimeoutNanos the time limit for establishing a connection, and also for a whole
 *     health check
 * @param hostIdleTimeoutNanos the time after which a host closes an idle connection
 * @param isRemovalBinding whether a host that was removed from the endpoint list must not be used
 *     any more
 * @param drainGraceNanos the time after the start of its drain from which on a host must not
 *     receive new statements
 */
public record ConnectionSettings(
    DescriptorBudget descriptors,
    ConnectBackoff backoff,
    long connectTimeoutNanos,
    long hostIdleTimeoutNanos,
    boolean isRemovalBinding,
    long drainGraceNanos) {}
