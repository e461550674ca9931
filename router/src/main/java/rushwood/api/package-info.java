/**
 * The interface of the routing policy and its value types; it depends on no other package.
 *
 * <p>{@link rushwood.api.RoutingPolicy} has the events that a policy is told, {@link
 * rushwood.api.PolicyActions} what it can order, {@link rushwood.api.RoutingSettings} its settings,
 * and {@link rushwood.api.OverloadSignals} what it can ask of overload control.
 */
@NullMarked
package rushwood.api;

import org.jspecify.annotations.NullMarked;
