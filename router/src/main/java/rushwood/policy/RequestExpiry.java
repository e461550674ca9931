package rushwood.policy;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Finds the requests whose answer deadline has been reached. {@link DeadlinePolicy} determines the
 * deadlines.
 */
final class RequestExpiry {
  private final DeadlineQueue queue;
  private final PendingRequests requests;
  private final DeadlinePolicy deadlines;

  RequestExpiry(DeadlineQueue queue, PendingRequests requests, DeadlinePolicy deadlines) {
    this.queue = queue;
    this.requests = requests;
    this.deadlines = deadlines;
  }

  /** Registers a request, which is found at its answer deadline unless it is finished by then. */
  void add(PendingRequest pending) {
    queue.add(deadlines.answerDeadline(pending), pending);
  }

  /** Brings the answer deadlines of all requests forward to before the router shuts down. */
  void shuttingDown(long lastAnswerTime) {
    deadlines.shutDownAt(lastAnswerTime);
    requests.all().forEach(this::add);
  }

  /**
   * Removes and returns the next unfinished request whose answer deadline has been reached, or
   * returns null. A request whose answer deadline has become later since it was registered, as it
   * does with the first attempt, is registered again.
   */
  @Nullable PendingRequest pollExpired(long now) {
    PendingRequest pending = queue.pollExpired(now);
    while (pending != null && !deadlines.isExpired(pending, now)) {
      add(pending);
      pending = queue.pollExpired(now);
    }
    return pending;
  }

  /**
   * Returns all unfinished requests whose answer deadline has been reached, including those whose
   * deadline has become earlier since they were registered. Scans all requests.
   */
  List<PendingRequest> findAllExpired(long now) {
    return requests.all().stream()
        .filter(pending -> !pending.isFinished() && deadlines.isExpired(pending, now))
        .toList();
  }
}
