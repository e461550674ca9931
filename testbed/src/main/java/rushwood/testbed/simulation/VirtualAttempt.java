package rushwood.testbed.simulation;

import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.api.RequestClass;
import rushwood.api.RequestClass.Consistency;
import rushwood.testbed.model.RequestKind;

/** An attempt of a router at a host. It ends with its first outcome; later ones are ignored. */
final class VirtualAttempt {
  private final VirtualRouter router;
  private final VirtualRequest request;
  private final int number;
  private final VirtualHost host;
  private final EventQueue events;
  private final long sentAt;
  private boolean ended;

  VirtualAttempt(
      VirtualRouter router,
      VirtualRequest request,
      int number,
      VirtualHost host,
      EventQueue events) {
    this.router = router;
    this.request = request;
    this.number = number;
    this.host = host;
    this.events = events;
    sentAt = events.now();
  }

  VirtualRequest request() {
    return request;
  }

  boolean hasEnded() {
    return ended;
  }

  boolean isWrite() {
    return requestKind() == RequestKind.WRITE;
  }

  RequestKind requestKind() {
    RequestClass requestClass = request.details().requestClass();
    if (requestClass.isWrite()) {
      return RequestKind.WRITE;
    }
    return requestClass.consistency() == Consistency.EVENTUAL
        ? RequestKind.EVENTUAL_READ
        : RequestKind.BOUNDED_READ;
  }

  /**
   * Ends the attempt and reports its result to the router. If it succeeded, the client that waits
   * for the request is answered first, without further latency.
   */
  void end(AttemptOutcome outcome) {
    if (ended) {
      return;
    }
    ended = true;
    host.attemptEnded(this);
    HostRole role =
        outcome.isHostResponse() ? HostRole.of(host.model().isPrimary()) : HostRole.UNKNOWN;
    long position = positionAfter(outcome);
    if (outcome == AttemptOutcome.SUCCESS) {
      request.detachClient().ifPresent(VirtualClient::onSuccess);
    }
    router.attemptEnded(
        request,
        () ->
            new AttemptResult(
                request.details().id(),
                number,
                host.id(),
                outcome,
                events.now() - sentAt,
                !request.isAwaited(),
                role,
                position,
                LoadReport.NONE));
  }

  private long positionAfter(AttemptOutcome outcome) {
    if (outcome == AttemptOutcome.SUCCESS && isWrite()) {
      return events.now();
    }
    return outcome.isHostResponse()
        ? host.model().position(events.now())
        : AttemptResult.NO_POSITION;
  }
}
