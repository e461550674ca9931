/**
 * The configuration of a router:
 *
 * <ul>
 *   <li>{@link rushwood.config.RouterConfig}: what the platform provides to each router process;
 *   <li>{@link rushwood.config.OperatorSettings}: what the operator controls;
 *   <li>{@link rushwood.config.SettingsDecoder}: the settings of the routing policy, which the
 *       configuration file contains and the simulator sends.
 * </ul>
 *
 * <p>A missing or invalid field causes an {@link rushwood.config.InvalidConfigException} that names
 * it.
 */
@NullMarked
package rushwood.config;

import org.jspecify.annotations.NullMarked;
