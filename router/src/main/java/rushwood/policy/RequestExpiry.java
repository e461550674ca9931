package rushwood.policy;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** Finds the requests whose answer deadline has come; {@link DeadlinePolicy} sets the deadlines. */
final class RequestExpiry {
  private final DeadlineQueue queue;
  private final PendingRequests requests;
  private final DeadlinePolicy deadlines;

  RequestExpiry(DeadlineQueue queue, PendingRequests requests, DeadlinePolicy deadlines) {
    this.queue = queue;
    this.requests = requests;
    this.deadlines = deadlines;
  }

  /** From now on the request is found when its deadline has come, unless it is finished by then. */
  void add(PendingRequest pending) {
    queue.add(deadlines.answerDeadline(pending), pending);
  }

  /** Every request is found before the router ends. */
  void shuttingDown(long lastAnswerTime) {
    deadlines.shutDownAt(lastAnswerTime);
    requests.all().forEach(this::add);
  }

  /**
   * Removes and returns the next unfinished request whose deadline has come, if there is one. Where
   * a request's answer deadline has become later since it was added, as it does with the first
   * attempt, it is added anew.
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
   * The unfinished requests whose deadline has come, those included whose deadline has become
   * earlier since they were added. It looks at all requests.
   */
  List<PendingRequest> findAllExpired(long now) {
    return requests.all().stream()
        .filter(pending -> !pending.isFinished() && deadlines.isExpired(pending, now))
        .toList();
  }
}
