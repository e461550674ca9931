package rushwood.dispatch;

import rushwood.overload.ConnectBackoff;
import rushwood.overload.DescriptorBudget;

/**
 * What the dispatcher and its connection pool are configured with.
 *
 * @param descriptors the file descriptors that connections to hosts are taken from
 * @param backoff spaces out connection attempts to a host that takes none
 * @param connectTimeoutNanos how long a connection, and likewise a health check, may take
 * @param hostIdleTimeoutNanos after how long a host closes an idle connection
 * @param isRemovalBinding whether a host that is missing from the endpoint list must not be used
 * @param drainGraceNanos within which time of its draining a host must get no new statement
 */
public record ConnectionSettings(
    DescriptorBudget descriptors,
    ConnectBackoff backoff,
    long connectTimeoutNanos,
    long hostIdleTimeoutNanos,
    boolean isRemovalBinding,
    long drainGraceNanos) {}
