package rushwood.api;

import java.util.List;

/**
 * Chooses hosts, retries and refusals for one router. All calls come from one thread, one at a
 * time, with a clock in nanoseconds that never goes back. What the policy chooses leaves through
 * the {@link PolicyActions} that it was made with, before the call returns.
 */
public interface RoutingPolicy {
  /**
   * A complete endpoint list: hosts that it does not name are removed.
   *
   * @param fromCache whether this is the list that the router held before it started
   */
  void endpointsReplaced(long now, List<Endpoint> endpoints, boolean fromCache);

  /** Changes of single endpoints; an empty list where discovery moves to another address. */
  void endpointsUpdated(long now, List<Endpoint> changes);

  /** A request for the endpoint list failed, or the subscription ended. */
  void endpointRefreshFailed(long now);

  /** A client sent a request. */
  void requestReceived(long now, Request request);

  /** An attempt that the policy sent has ended. */
  void attemptFinished(long now, AttemptResult result);

  /** The client of a request has gone: no answer is owed. */
  void clientDisconnected(long now, RequestId request);

  /** The router ends at the deadline: all pending requests have to be answered before. */
  void shuttingDown(long now, long deadline);

  /** A health check has ended; without an answer the report is {@link LoadReport#NONE}. */
  void healthCheckFinished(long now, HostId host, boolean answered, LoadReport report);

  /** A time that the policy asked for with {@link PolicyActions#wakeAt} has come. */
  void timerFired(long now);
}
