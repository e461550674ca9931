package rushwood.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import rushwood.api.Request;

/** A request at a router, kept until its client needs no answer and all its attempts have ended. */
final class VirtualRequest {
  private final Request details;
  private final List<VirtualAttempt> attempts = new ArrayList<>();
  private @Nullable VirtualClient waitingClient;

  VirtualRequest(Request details, VirtualClient client) {
    this.details = details;
    waitingClient = client;
  }

  /** Returns the request as the routing policy receives it. */
  Request details() {
    return details;
  }

  VirtualAttempt attempt(int number) {
    return attempts.get(number);
  }

  /** Adds an attempt at a host. Attempts of a request are numbered from 0. */
  VirtualAttempt addAttempt(VirtualRouter router, VirtualHost host, EventQueue events) {
    VirtualAttempt attempt = new VirtualAttempt(router, this, attempts.size(), host, events);
    attempts.add(attempt);
    return attempt;
  }

  /** Returns whether a client is still waiting for an answer. */
  boolean isAwaited() {
    return waitingClient != null;
  }

  /** Removes and returns the client that is waiting for an answer; empty if none is. */
  Optional<VirtualClient> detachClient() {
    Optional<VirtualClient> client = Optional.ofNullable(waitingClient);
    waitingClient = null;
    return client;
  }

  /** Returns whether no client is waiting and no attempt is in flight. */
  boolean isFinished() {
    return !isAwaited() && attempts.stream().allMatch(VirtualAttempt::hasEnded);
  }
}
