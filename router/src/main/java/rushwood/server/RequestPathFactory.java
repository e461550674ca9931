package rushwood.server;

import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import rushwood.api.LogLevel;
import rushwood.api.PolicyActions;
import rushwood.api.RoutingPolicy;
import rushwood.config.RouterConfig;
import rushwood.dispatch.BackendConnection;
import rushwood.dispatch.ConnectionSettings;
import rushwood.dispatch.Counters;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.RequestDispatcher;
import rushwood.dispatch.TimerQueue;
import rushwood.net.ConnectionLimits;
import rushwood.net.FrontendServer;
import rushwood.overload.ConnectBackoff;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.DescriptorBudget;
import rushwood.overload.OverloadController;
import rushwood.overload.OverloadSettings;
import rushwood.policy.DefaultRoutingPolicy;

/**
 * Creates the parts that a request passes through, from the client's connection over the routing
 * policy to the connection to a backend, in the same way for the server and for its warm-up. All
 * parts of one factory share its clock, timers, counters and limits. Used on the event loop only.
 */
final class RequestPathFactory {
  private final RouterConfig config;
  private final EventLoopClock clock;
  private final TimerQueue timerQueue;
  private final Counters counters;
  private final DescriptorBudget descriptorBudget;
  private final ConnectBackoff connectBackoff;

  RequestPathFactory(
      RouterConfig config,
      EventLoopClock clock,
      TimerQueue timerQueue,
      Counters counters,
      DescriptorBudget descriptorBudget,
      ConnectBackoff connectBackoff) {
    this.config = config;
    this.clock = clock;
    this.timerQueue = timerQueue;
    this.counters = counters;
    this.descriptorBudget = descriptorBudget;
    this.connectBackoff = connectBackoff;
  }

  /**
   * Creates a dispatcher without endpoints.
   *
   * @param logger takes the policy's log messages
   * @param policyFactory makes the policy, of {@link #createPolicy}, from its actions; called once,
   *     before this returns
   */
  RequestDispatcher createDispatcher(
      BackendConnection.Connector backendConnector,
      BiConsumer<LogLevel, String> logger,
      Function<PolicyActions, RoutingPolicy> policyFactory) {
    return new RequestDispatcher(
        clock,
        timerQueue,
        counters,
        new ConnectionSettings(
            descriptorBudget,
            connectBackoff,
            config.connectTimeoutNanos(),
            config.idleTimeoutNanos(),
            config.settings().isRemovalBinding(),
            config.drainGraceNanos()),
        backendConnector,
        logger,
        policyFactory);
  }

  /**
   * Creates the routing policy behind its overload control. Its random choices follow the seed of
   * the configuration.
   */
  OverloadController createPolicy(OverloadSettings overloadSettings, PolicyActions actions) {
    return new OverloadController(
        config.settings(),
        overloadSettings,
        connectBackoff,
        timerQueue::recentLatenessNanos,
        actions,
        (overloadSignals, observedActions) ->
            new DefaultRoutingPolicy(
                config.settings(),
                new SplittableRandom(config.seed()),
                observedActions,
                overloadSignals));
  }

  /**
   * Creates the handler of client connections.
   *
   * @param retryAfterNanos the wait that a refused client is told, not positive for none
   * @param random the source of the secret part of cancel keys
   */
  FrontendServer createFrontend(
      RequestDispatcher dispatcher,
      ConnectionAdmission admission,
      LongSupplier retryAfterNanos,
      RandomGenerator random) {
    return new FrontendServer(
        dispatcher,
        clock,
        timerQueue,
        counters,
        config.settings().requestClasses(),
        new ConnectionLimits(admission, descriptorBudget, retryAfterNanos),
        random);
  }
}
