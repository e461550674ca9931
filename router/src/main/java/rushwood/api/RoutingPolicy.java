package rushwood.api;

import java.util.List;

/**
 * The decisions of one router. Calls come one at a time, with a clock that never goes back; what is
 * decided leaves through the {@link Outlet} handed over at start, before the call returns.
 */
public interface RoutingPolicy {
  /**
   * The whole list; {@code remembered} if it is only what this router last held before it started.
   */
  void endpointsReplaced(long now, List<Endpoint> endpoints, boolean fromCache);

  /** Changes; none where the list comes from another place from now on. */
  void endpointsUpdated(long now, List<Endpoint> changes);

  /** A call for the list failed, or the subscription ended. */
  void endpointRefreshFailed(long now);

  void requestReceived(long now, Request request);

  void attemptFinished(long now, AttemptResult result);

  /** The client has left: no answer is owed. */
  void clientDisconnected(long now, RequestId request);

  /** This router ends at that time: whatever it has taken until then has its answer before. */
  void shuttingDown(long now, long deadline);

  void probeFinished(long now, HostId host, boolean answered, LoadReport report);

  /** A time asked for with {@link Outlet#wake} has come. */
  void timerFired(long now);
}
