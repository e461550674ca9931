package rushwood.api;

import java.util.List;

/**
 * Decides for the requests of one router which host gets them, when they are retried and when they
 * are rejected.
 *
 * <p>Each method delivers an event. The policy carries out its decisions through the {@link
 * PolicyActions} that it was created with, before the method returns. A method throws only because
 * of a programming error.
 *
 * <p>Policies are not thread-safe. All methods are called on the router's event loop, or on the
 * only thread of the simulator, and never from within another call. {@code now} is a clock time in
 * nanoseconds that never decreases from one call to the next.
 */
public interface RoutingPolicy {
  /**
   * A complete endpoint list was received. With {@link RoutingSettings#isRemovalBinding()}, hosts
   * that it does not contain are removed.
   *
   * @param fromCache whether this is the router's cached list instead of one from discovery. A
   *     router starts with its cached list, which is empty if it has none.
   */
  void endpointsReplaced(long now, List<Endpoint> endpoints, boolean fromCache);

  /**
   * Some endpoints were added, changed or removed.
   *
   * @param changes the new state of these endpoints; may be empty
   */
  void endpointsUpdated(long now, List<Endpoint> changes);

  /** Fetching the endpoint list failed, or the subscription to its changes ended. */
  void endpointRefreshFailed(long now);

  /** A client sent a request. Its id must be new. No host of its group needs to be known. */
  void requestReceived(long now, Request request);

  /**
   * An attempt ended. This is reported exactly once for every attempt that the policy sent,
   * including cancelled ones.
   *
   * @throws IllegalArgumentException if the policy sent no such attempt
   */
  void attemptFinished(long now, AttemptResult result);

  /** The client disconnected or cancelled the request, which needs no answer any more. */
  void clientDisconnected(long now, RequestId request);

  /**
   * The router has begun to shut down. May be called again with another time, which replaces the
   * former one.
   *
   * @param lastAnswerTime the clock time in nanoseconds before which the policy has to give every
   *     pending request its final answer
   */
  void shuttingDown(long now, long lastAnswerTime);

  /**
   * A health check that the policy started has ended.
   *
   * @param answered whether the host answered the health check in time
   * @param report what the host reported; {@link LoadReport#NONE} if it did not answer
   */
  void healthCheckFinished(long now, HostId host, boolean answered, LoadReport report);

  /** The clock time that the policy passed to {@link PolicyActions#wakeAt} has been reached. */
  void timerFired(long now);
}
