package rushwood.net;

import java.util.List;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.HostId;
import rushwood.api.LoadReport;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;

/** A policy that leaves every request pending until the test answers it. */
final class PendingPolicy implements RoutingPolicy {
  PolicyActions actions;
  Request latestRequest;

  RoutingPolicy attach(PolicyActions policyActions) {
    actions = policyActions;
    return this;
  }

  @Override
  public void endpointsReplaced(long now, List<Endpoint> endpoints, boolean fromCache) {}

  @Override
  public void endpointsUpdated(long now, List<Endpoint> changes) {}

  @Override
  public void endpointRefreshFailed(long now) {}

  @Override
  public void requestReceived(long now, Request request) {
    latestRequest = request;
  }

  @Override
  public void attemptFinished(long now, AttemptResult result) {}

  @Override
  public void clientDisconnected(long now, RequestId request) {}

  @Override
  public void shuttingDown(long now, long deadline) {}

  @Override
  public void healthCheckFinished(long now, HostId host, boolean answered, LoadReport report) {}

  @Override
  public void timerFired(long now) {}
}
