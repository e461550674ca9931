package rushwood.policy;

import org.jspecify.annotations.Nullable;

/** Finds the requests whose answer deadline has come; {@link DeadlinePolicy} sets the deadlines. */
final class RequestExpiry {
  private final DeadlineQueue queue;
  private final DeadlinePolicy deadlines;

  RequestExpiry(DeadlineQueue queue, DeadlinePolicy deadlines) {
    this.queue = queue;
    this.deadlines = deadlines;
  }

  /** From now on the request is found when its deadline has come, unless it is finished by then. */
  void add(PendingRequest pending) {
    queue.add(deadlines.answerDeadline(pending), pending);
  }

  /** Every request is found before the router ends. */
  void shuttingDown(long lastAnswerTime, Iterable<PendingRequest> requests) {
    deadlines.shutDownAt(lastAnswerTime);
    requests.forEach(this::add);
  }

  /**
   * Removes and returns the next unfinished request whose deadline has come, if there is one. Where
   * a request's answer deadline has moved since it was added, as it does with the first attempt, it
   * is added anew.
   */
  @Nullable PendingRequest pollExpired(long now) {
    PendingRequest pending = queue.pollExpired(now);
    while (pending != null && !deadlines.isExpired(pending, now)) {
      add(pending);
      pending = queue.pollExpired(now);
    }
    return pending;
  }
}
