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
 * Creates the components that a request passes through: the frontend, the routing policy and the
 * dispatcher. The server and its warm-up both use this factory, so that the warm-up runs the same
 * code. Components of one factory share its clock, timers, counters and limits.
 *
 * <p>Used on the event loop only.
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
   * @param logger receives the policy's log lines
   * @param policyFactory creates the policy with {@link #createPolicy}, given the actions that the
   *     policy may take; called once, before this method returns
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
   * Creates the routing policy, wrapped in overload control. Its random choices are seeded from the
   * configuration.
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
   * @param retryAfterNanos supplies the Retry-After for a client whose connection is refused, in
   *     nanoseconds; zero or less for none
   * @param random generates the secret part of cancel keys
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
