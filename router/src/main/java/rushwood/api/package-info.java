/**
 * The interface of the routing policy and its value types. This package depends on no other one.
 *
 * <p>A {@link rushwood.api.RoutingPolicy} receives events, acts through {@link
 * rushwood.api.PolicyActions}, is configured by {@link rushwood.api.RoutingSettings}, and takes
 * advice of overload control from {@link rushwood.api.OverloadSignals}.
 */
@NullMarked
package rushwood.api;

import org.jspecify.annotations.NullMarked;
