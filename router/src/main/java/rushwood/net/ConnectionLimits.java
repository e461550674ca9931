package rushwood.net;

import java.util.function.LongSupplier;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.DescriptorBudget;

/**
 * What limits the connections of clients.
 *
 * @param admission which connections are kept, and which are closed for others
 * @param descriptorBudget how many descriptors clients may use, beside the connections to hosts
 * @param retryAfterNanos the wait in nanoseconds that a client is told whose connection is refused,
 *     not positive for none
 */
public record ConnectionLimits(
    ConnectionAdmission admission,
    DescriptorBudget descriptorBudget,
    LongSupplier retryAfterNanos) {}
