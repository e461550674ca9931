package rushwood.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import rushwood.api.Request;

/** A request at a router, until its client has an answer and all its attempts have ended. */
final class VirtualRequest {
  private final Request details;
  private final List<VirtualAttempt> attempts = new ArrayList<>();
  private @Nullable VirtualClient waitingClient;

  VirtualRequest(Request details, VirtualClient client) {
    this.details = details;
    waitingClient = client;
  }

  /** The request as the routing policy knows it. */
  Request details() {
    return details;
  }

  VirtualAttempt attempt(int number) {
    return attempts.get(number);
  }

  /** Adds an attempt, the first of which has number 0. */
  VirtualAttempt addAttempt(VirtualRouter router, VirtualHost host, EventQueue events) {
    VirtualAttempt attempt = new VirtualAttempt(router, this, attempts.size(), host, events);
    attempts.add(attempt);
    return attempt;
  }

  /** Whether a client still waits for an answer. */
  boolean isAwaited() {
    return waitingClient != null;
  }

  /** The client that waits; from now on none does. */
  Optional<VirtualClient> detachClient() {
    Optional<VirtualClient> client = Optional.ofNullable(waitingClient);
    waitingClient = null;
    return client;
  }

  /** Whether nothing more can come of it. */
  boolean isFinished() {
    return !isAwaited() && attempts.stream().allMatch(VirtualAttempt::hasEnded);
  }
}
