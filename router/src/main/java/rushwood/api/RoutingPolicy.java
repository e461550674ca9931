package rushwood.api;

import java.util.List;

/**
 * Chooses hosts, retries and rejections for the requests of one router.
 *
 * <p>Thread: a policy is not synchronized. All calls come from the router's event loop (in the
 * simulator from its only thread), one at a time and never from within another call. Time: {@code
 * now} is a clock time in nanoseconds that never goes back. What the policy decides leaves through
 * the {@link PolicyActions} that it was created with, before the call returns. A call throws only
 * for a fault of the program.
 */
public interface RoutingPolicy {
  /**
   * A complete endpoint list was received: hosts that it does not contain are removed.
   *
   * @param fromCache whether this is the list that the router held before it started
   */
  void endpointsReplaced(long now, List<Endpoint> endpoints, boolean fromCache);

  /**
   * Single endpoints changed.
   *
   * @param changes the changed endpoints; empty where the router moves to another discovery agent
   */
  void endpointsUpdated(long now, List<Endpoint> changes);

  /** A poll of the endpoint list failed, or its watch ended. */
  void endpointRefreshFailed(long now);

  /** A client sent a request. Its id must be new; its group may be unknown. */
  void requestReceived(long now, Request request);

  /**
   * An attempt that the policy sent has ended. Every attempt ends exactly once, also one that was
   * cancelled.
   *
   * @throws IllegalArgumentException if the policy sent no such attempt
   */
  void attemptFinished(long now, AttemptResult result);

  /** The client of a request disconnected or cancelled it: no answer is owed any more. */
  void clientDisconnected(long now, RequestId request);

  /**
   * The router shuts down.
   *
   * @param lastAnswerTime every pending request has to be answered before that clock time
   */
  void shuttingDown(long now, long lastAnswerTime);

  /**
   * A health check that the policy asked for has ended.
   *
   * @param answered whether the host answered it in time
   * @param report what the host reported; {@link LoadReport#NONE} without an answer
   */
  void healthCheckFinished(long now, HostId host, boolean answered, LoadReport report);

  /** A time that the policy asked for with {@link PolicyActions#wakeAt} has come. */
  void timerFired(long now);
}
