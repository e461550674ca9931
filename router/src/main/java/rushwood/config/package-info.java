/**
 * The settings of a router: what the platform gives to each process ({@link
 * rushwood.config.RouterConfig}), what the operator owns ({@link rushwood.config.OperatorSettings})
 * and the settings of the routing policy, which the simulator sends too ({@link
 * rushwood.config.SettingsDecoder}).
 *
 * <p>Each error is an {@link rushwood.config.InvalidConfigException} that names the field.
 */
@NullMarked
package rushwood.config;

import org.jspecify.annotations.NullMarked;
