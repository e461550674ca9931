package rushwood.server;

import java.util.SplittableRandom;
import rushwood.api.PolicyActions;
import rushwood.config.RouterConfig;
import rushwood.overload.ConnectBackoff;
import rushwood.overload.OverloadController;
import rushwood.overload.OverloadSettings;
import rushwood.policy.DefaultRoutingPolicy;

/** Creates the routing policy behind its overload control, for the server and for its warm-up. */
final class PolicyFactory {
  private PolicyFactory() {}

  /** Returns a new policy whose random choices follow the seed of the configuration. */
  static OverloadController create(
      RouterConfig config,
      OverloadSettings overloadSettings,
      ConnectBackoff connectBackoff,
      PolicyActions actions) {
    return new OverloadController(
        config.settings(),
        overloadSettings,
        connectBackoff,
        actions,
        (overloadSignals, observedActions) ->
            new DefaultRoutingPolicy(
                config.settings(),
                new SplittableRandom(config.seed()),
                observedActions,
                overloadSignals));
  }
}
