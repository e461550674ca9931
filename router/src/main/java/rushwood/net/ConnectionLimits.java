package rushwood.net;

import java.util.function.LongSupplier;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.DescriptorBudget;

/**
 * The limits on client connections.
 *
 * @param admission selects the connections to close or refuse when there are too many
 * @param descriptorBudget limits how many descriptors client connections may use
 * @param retryAfterNanos supplies the Retry-After time in nanoseconds for refused connections; zero
 *     or less means that none is sent
 */
public record ConnectionLimits(
    ConnectionAdmission admission,
    DescriptorBudget descriptorBudget,
    LongSupplier retryAfterNanos) {}
