package rushwood.discovery;

import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import rushwood.discovery.OpenRequests.OpenRequest;

/**
 * Decides when to poll the discovery agent for the complete list and when to watch its changes, so
 * that the router's list is never older than part of the drain grace, whatever fails.
 *
 * <p>The platform takes the router to know a change as soon as the agent has it, whether or not a
 * request has brought it. So the complete list is polled first, then its changes are watched. As
 * the heartbeats of a watch do not prove that it still delivers changes, the complete list is also
 * polled again at intervals that follow from the grace.
 *
 * <p>Each rule has its place: when to poll, {@link PollSchedule}; when to open a watch, {@link
 * #isWatchNeeded}; which list is applied, {@link ListDecision} and {@link ListAcceptancePolicy}.
 *
 * <p>No I/O. Times are nanoseconds of the caller's clock and must not go back. Not thread-safe: all
 * calls come from the event loop that runs the {@link Transport}.
 */
public final class EndpointRefreshPolicy {
  /** Opens and closes the requests, which are told apart by their numbers, and keeps the timer. */
  public interface Transport {
    /**
     * Opens a request.
     *
     * @param watch whether to watch the changes after {@code sinceVersion}, else the complete list
     *     is polled
     */
    void open(int requestNumber, boolean watch, long sinceVersion);

    /**
     * Closes a request that is of no more use.
     *
     * @param timedOut whether that is because the agent did not respond in time
     */
    void close(int requestNumber, boolean timedOut);

    /** Calls {@link #timerFired} at this time, and at no time that was set before. */
    void scheduleWakeup(long at);
  }

  private final Transport transport;
  private final PollSchedule schedule;
  private final ListAcceptancePolicy acceptance;
  private final OpenRequests requests;
  private boolean stopped = true;

  /**
   * Creates a policy that does nothing until {@link #start}.
   *
   * @param drainGraceNanos time after which a leaving endpoint may get nothing new
   * @param lastKnownVersion version of the list held from an earlier process, 0 for none
   */
  public EndpointRefreshPolicy(
      long drainGraceNanos, long lastKnownVersion, RandomGenerator random, Transport transport) {
    this.transport = transport;
    acceptance = new ListAcceptancePolicy(lastKnownVersion);
    schedule = new PollSchedule(drainGraceNanos, random);
    requests = new OpenRequests(transport);
  }

  /** The version that a poll made now need not decode again; empty if any list is wanted. */
  public OptionalLong cachedVersion() {
    return acceptance.cachedVersion();
  }

  /** The checksum of the complete list that was applied last. */
  public long cachedChecksum() {
    return acceptance.cachedChecksum();
  }

  /** Polls the agent at once. */
  public void start(long now) {
    stopped = false;
    pollUrgently(now);
  }

  /**
   * The agent is at another address. It is polled at once; the watch at the old address counts
   * until the new agent has sent its list.
   */
  public void addressChanged(long now) {
    acceptance.agentChanged();
    requests.agentChanged();
    schedule.pollImmediately(now);
    scheduleWakeup();
  }

  /** Closes all requests and opens no more. */
  public void stop() {
    stopped = true;
    requests.closeAll();
  }

  /**
   * Data has arrived, which puts off the deadline of a poll and shows that a watch is alive. It
   * does not show that the watch delivers all changes, so the next poll stays as scheduled.
   *
   * @param betweenLists whether it ended with no list begun; that of a watch counts only then
   */
  public void dataReceived(long now, int requestNumber, boolean betweenLists) {
    OpenRequest request = requests.find(requestNumber);
    if (request != null) {
      request.dataReceived(now, betweenLists);
    }
  }

  /** Decides on a list that has arrived, and polls or watches anew if that is needed after it. */
  public ListDecision listReceived(long now, int requestNumber, EndpointList list) {
    OpenRequest request = requests.find(requestNumber);
    if (request == null) {
      return ListDecision.IGNORED_REQUEST_CLOSED;
    }
    boolean changed = acceptance.isChange(list.version());
    ListDecision decision = acceptance.decide(list, !request.isToFormerAgent());
    if (decision == ListDecision.IGNORED_OLDER_VERSION) {
      pollUrgently(now);
      return decision;
    }
    if (!list.isWellFormed()) {
      schedule.pollWithinInterval(now);
      scheduleWakeup();
    }
    if (isWatchNeeded(now, request, changed)) {
      requests.replaceWatch(now, list.version().orElse(0));
    }
    return decision;
  }

  /**
   * Whether to open a watch, in place of the one there may be: after a poll of the current agent
   * whose list was not ignored, if
   *
   * <ul>
   *   <li>the list brought a version that the watch has not delivered (or it is the first), or
   *   <li>there is no watch, or its heartbeat is overdue.
   * </ul>
   */
  private boolean isWatchNeeded(long now, OpenRequest request, boolean changed) {
    return request == requests.poll() && (changed || !requests.isWatchAlive(now));
  }

  /** The agent has ended a response; that of a watch should stay open, so its end is a failure. */
  public void responseCompleted(long now, int requestNumber) {
    OpenRequest request = requests.find(requestNumber);
    if (request != null && request == requests.poll()) {
      requests.close(request, false);
      schedule.pollCompleted(now);
      scheduleWakeup();
    } else {
      requestFailed(now, requestNumber);
    }
  }

  /**
   * A request could not be made, broke off or brought what cannot be read. The current agent is
   * polled at once.
   */
  public void requestFailed(long now, int requestNumber) {
    OpenRequest request = requests.find(requestNumber);
    if (request != null) {
      requests.close(request, false);
      acceptance.requestFailed();
      if (!request.isToFormerAgent()) {
        pollUrgently(now);
      }
    }
  }

  /** The time given to {@link Transport#scheduleWakeup} has come. */
  public void timerFired(long now) {
    if (stopped) {
      return;
    }
    OpenRequest poll = requests.poll();
    if (poll != null && now >= deadline(poll)) {
      boolean responseStarted = poll.lastDataAt() > poll.openedAt();
      requests.close(poll, true);
      schedule.pollTimedOut(now, responseStarted);
      scheduleWakeup();
    }
    if (requests.poll() == null && now >= schedule.nextPollAt()) {
      schedule.pollStarted(now);
      requests.openPoll(now);
    }
    scheduleWakeup();
  }

  private void pollUrgently(long now) {
    schedule.pollUrgently(now);
    scheduleWakeup();
  }

  private void scheduleWakeup() {
    OpenRequest poll = requests.poll();
    long at = poll != null ? deadline(poll) : schedule.nextPollAt();
    if (!stopped && at != PollSchedule.NOT_SCHEDULED) {
      transport.scheduleWakeup(at);
    }
  }

  private long deadline(OpenRequest poll) {
    return schedule.deadline(poll.openedAt(), poll.lastDataAt());
  }
}
