package rushwood.server;

import java.net.InetSocketAddress;
import rushwood.api.LogLevel;
import rushwood.config.RouterConfig;
import rushwood.discovery.DiscoveryClient;

/**
 * Applies a configuration that was reloaded while the router serves. A change takes effect as
 * follows:
 *
 * <ul>
 *   <li>{@code discovery} takes effect at once: the agent at the new address is polled, and updates
 *       of the watch at the old address are accepted until the new agent has sent its list.
 *   <li>{@code name}, {@code listen}, {@code limits.sockets} and {@code settings} take effect only
 *       after a restart, and a change of one of them is logged. The request classes' deadlines and
 *       {@code rules.drain_grace}, although part of {@code settings}, are not compared: a change of
 *       these alone is ignored without a log line.
 *   <li>{@code seed} and {@code known} are used only at the start; a change is ignored.
 * </ul>
 *
 * <p>All state is kept: requests, connections, the current endpoint list, what the routing policy
 * has learned about hosts and groups, the state of overload control, and the counters.
 *
 * <p>Used on the event loop only.
 */
final class ConfigApplier {
  private final RouterConfig startConfig;
  private final DiscoveryClient discoveryClient;
  private final RateLimitedLogger logger;
  private InetSocketAddress discoveryAddress;

  /**
   * Creates an applier that compares new configurations with {@code startConfig}.
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

  /** Applies the fields that can change at runtime, and logs changes of those that cannot. */
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
        LogLevel.WARN, "ignored the new value of " + field + ": a change requires a restart");
  }
}
