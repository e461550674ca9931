package rushwood.server;

import java.net.InetSocketAddress;
import rushwood.api.LogLevel;
import rushwood.config.RouterConfig;
import rushwood.discovery.DiscoveryClient;

/**
 * Applies a configuration that was read while the router serves. Of its fields
 *
 * <ul>
 *   <li>{@code discovery} takes effect at once: the agent at the new address is polled, and the
 *       watch at the old one counts until the new list has come;
 *   <li>{@code name}, {@code listen}, {@code limits.sockets} and {@code settings} keep the values
 *       of the start until a restart. A change of one of them is logged. Of {@code settings} the
 *       classes' deadlines and {@code rules.drain_grace} are not compared, so that a change of
 *       these alone is ignored without a line;
 *   <li>{@code seed} and {@code known} are of use at a start only, and a change is ignored.
 * </ul>
 *
 * <p>All state survives: requests, connections, the endpoint list in force, what the routing policy
 * has learned of hosts and groups, overload control and the counters. Used on the event loop only.
 */
final class ConfigApplier {
  private final RouterConfig startConfig;
  private final DiscoveryClient discoveryClient;
  private final RateLimitedLogger logger;
  private InetSocketAddress discoveryAddress;

  /**
   * Creates an applier.
   *
   * @param startConfig the configuration that the router was started with
   */
  ConfigApplier(
      RouterConfig startConfig, DiscoveryClient discoveryClient, RateLimitedLogger logger) {
    this.startConfig = startConfig;
    this.discoveryClient = discoveryClient;
    this.logger = logger;
    discoveryAddress = startConfig.discoveryAddress();
  }

  /** Puts into force what may change while the router serves, and logs what may not. */
  void apply(RouterConfig newConfig) {
    startConfig.fieldsRequiringRestart(newConfig).forEach(this::logIgnored);
    if (!newConfig.discoveryAddress().equals(discoveryAddress)) {
      discoveryAddress = newConfig.discoveryAddress();
      logger.log(LogLevel.INFO, "discovery is now at " + discoveryAddress);
      discoveryClient.changeAddress(discoveryAddress);
    }
  }

  private void logIgnored(String field) {
    logger.log(
        LogLevel.WARN, "ignored the new value of " + field + ": it changes only at a restart");
  }
}
