package rushwood.policy;

import java.util.random.RandomGenerator;
import rushwood.api.OverloadSignals;
import rushwood.api.PolicyActions;
import rushwood.api.RoutingSettings;

/** What the components of one router's policy share: its inputs, outputs and state. */
record PolicyContext(
    RoutingSettings settings,
    RandomGenerator random,
    PolicyActions actions,
    OverloadSignals overloadSignals,
    ServiceTimes serviceTimes,
    HostTable hosts,
    PendingRequests requests,
    DeadlineQueue deadlineQueue) {

  /** Creates a context that knows no hosts and no requests yet. */
  PolicyContext(
      RoutingSettings settings,
      RandomGenerator random,
      PolicyActions actions,
      OverloadSignals overloadSignals,
      ServiceTimes serviceTimes) {
    this(
        settings,
        random,
        actions,
        overloadSignals,
        serviceTimes,
        new HostTable(),
        new PendingRequests(actions, settings.canCancel()),
        new DeadlineQueue(actions));
  }
}
