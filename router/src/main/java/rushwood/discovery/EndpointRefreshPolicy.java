package rushwood.discovery;

import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import rushwood.discovery.OpenRequests.OpenRequest;

/**
 * Decides when to poll the discovery agent for the complete list and when to watch it for changes,
 * so that a change reaches the router within part of the drain grace although requests may fail.
 *
 * <p>The platform assumes that the router knows a change as soon as the agent has it, whether or
 * not the agent has sent it. Therefore the router first polls the complete list and then watches it
 * for changes. Because the heartbeats of a watch do not prove that it still delivers changes, the
 * router also polls the complete list again at intervals that derive from the drain grace.
 *
 * <p>{@link PollSchedule} defines when to poll, {@link #isWatchNeeded} when to open a watch, and
 * {@link ListAcceptancePolicy} which lists to apply.
 *
 * <p>Does no I/O. Times are nanoseconds of the caller's clock and must not decrease. Not
 * thread-safe: all calls come from the event loop that runs the {@link Transport}.
 */
public final class EndpointRefreshPolicy {
  /** Opens and closes requests, which are identified by number, and runs the policy's timer. */
  public interface Transport {
    /**
     * Opens a request.
     *
     * @param watch whether to watch the changes after {@code sinceVersion} rather than to poll the
     *     complete list
     * @param sinceVersion ignored for a poll
     */
    void open(int requestNumber, boolean watch, long sinceVersion);

    /**
     * Closes a request.
     *
     * @param timedOut whether it is closed because the agent did not respond in time
     */
    void close(int requestNumber, boolean timedOut);

    /** Schedules a call of {@link #timerFired}, in place of the one scheduled before. */
    void scheduleWakeup(long at);
  }

  private final Transport transport;
  private final PollSchedule schedule;
  private final ListAcceptancePolicy acceptancePolicy;
  private final OpenRequests requests;
  private boolean stopped = true;

  /**
   * Creates a policy that does nothing until {@link #start}.
   *
   * @param drainGraceNanos how long a draining or removed endpoint may still receive new requests
   * @param lastKnownVersion version of the list that an earlier process saved, 0 if there is none
   */
  public EndpointRefreshPolicy(
      long drainGraceNanos, long lastKnownVersion, RandomGenerator random, Transport transport) {
    this.transport = transport;
    acceptancePolicy = new ListAcceptancePolicy(lastKnownVersion);
    schedule = new PollSchedule(drainGraceNanos, random);
    requests = new OpenRequests(transport);
  }

  /**
   * Returns the version whose complete list need not be decoded again if its checksum equals {@link
   * #cachedChecksum}; empty if the next complete list has to be decoded in any case.
   */
  public OptionalLong cachedVersion() {
    return acceptancePolicy.cachedVersion();
  }

  /** Returns the checksum of the complete list that was applied last, 0 if there is none. */
  public long cachedChecksum() {
    return acceptancePolicy.cachedChecksum();
  }

  /** Polls the agent at once. */
  public void start(long now) {
    stopped = false;
    pollUrgently(now);
  }

  /**
   * Polls the agent at its new address at once. The watch at the old address remains in use until
   * the new agent has sent its list.
   */
  public void addressChanged(long now) {
    acceptancePolicy.agentChanged();
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
   * Records that data has arrived, which extends the deadline of a poll and shows that a watch is
   * alive. The next poll stays scheduled, because data does not prove that a watch delivers all
   * changes.
   *
   * @param betweenLists whether the data ended between lists; data on a watch counts only then
   */
  public void dataReceived(long now, int requestNumber, boolean betweenLists) {
    OpenRequest request = requests.find(requestNumber);
    if (request != null) {
      request.dataReceived(now, betweenLists);
    }
  }

  /** Decides whether to apply a list, and schedules a poll or opens a watch if necessary. */
  public ListDecision listReceived(long now, int requestNumber, EndpointList list) {
    OpenRequest request = requests.find(requestNumber);
    if (request == null) {
      return ListDecision.IGNORED_REQUEST_CLOSED;
    }
    boolean versionChanged = acceptancePolicy.isDifferentVersion(list.version());
    ListDecision decision = acceptancePolicy.decide(list, !request.isToPreviousAgent());
    if (decision == ListDecision.IGNORED_OLDER_VERSION) {
      pollUrgently(now);
      return decision;
    }
    if (!list.isWellFormed()) {
      schedule.pollWithinInterval(now);
      scheduleWakeup();
    }
    if (isWatchNeeded(now, request, versionChanged)) {
      requests.replaceWatch(now, list.version().orElse(0));
    }
    return decision;
  }

  /**
   * Returns whether to open a watch, which replaces the current one if there is one. This is
   * necessary after a poll whose list was not ignored if
   *
   * <ul>
   *   <li>the list has a version that the watch has not delivered, or is the agent's first list, or
   *   <li>there is no watch, or it has stalled.
   * </ul>
   */
  private boolean isWatchNeeded(long now, OpenRequest request, boolean versionChanged) {
    return requests.isPoll(request) && (versionChanged || !requests.isWatchAlive(now));
  }

  /**
   * Handles the end of a response. The end of a poll closes the other one too, whose list could
   * only be older. The end of a watch is a failure, because it should stay open.
   */
  public void responseCompleted(long now, int requestNumber) {
    OpenRequest request = requests.find(requestNumber);
    if (request != null && requests.isPoll(request)) {
      requests.closePolls();
      schedule.pollCompleted(now);
      scheduleWakeup();
    } else {
      requestFailed(now, requestNumber);
    }
  }

  /**
   * Handles a request that could not be sent, was interrupted or returned an unreadable list.
   * Unless it went to the previous agent, polls the current agent urgently (see {@link
   * PollSchedule}).
   */
  public void requestFailed(long now, int requestNumber) {
    OpenRequest request = requests.find(requestNumber);
    if (request != null) {
      requests.close(request, false);
      acceptancePolicy.requestFailed();
      if (!request.isToPreviousAgent()) {
        pollUrgently(now);
      }
    }
  }

  /** Must be called at the time passed to {@link Transport#scheduleWakeup}. */
  public void timerFired(long now) {
    if (stopped) {
      return;
    }
    closeExpiredLatePoll(now);
    OpenRequest poll = requests.poll();
    if (poll != null && now >= deadline(poll)) {
      pollTimedOut(now, poll);
    }
    if (requests.poll() == null && now >= schedule.nextPollAt()) {
      schedule.pollStarted(now);
      requests.openPoll(now);
    }
    scheduleWakeup();
  }

  private void closeExpiredLatePoll(long now) {
    OpenRequest latePoll = requests.latePoll();
    if (latePoll != null && now >= latePollDeadline(latePoll)) {
      requests.close(latePoll, true);
    }
  }

  /**
   * Keeps the poll open as the late one, unless there is one already; then closes it. The next poll
   * follows at once in either case.
   */
  private void pollTimedOut(long now, OpenRequest poll) {
    if (requests.latePoll() == null) {
      requests.keepAsLatePoll();
    } else {
      requests.close(poll, true);
    }
    schedule.pollTimedOut(now, poll.hasResponseStarted());
  }

  private void pollUrgently(long now) {
    schedule.pollUrgently(now);
    scheduleWakeup();
  }

  private void scheduleWakeup() {
    long at = Math.min(nextPollEventAt(), nextLatePollEventAt());
    if (!stopped && at != PollSchedule.NOT_SCHEDULED) {
      transport.scheduleWakeup(at);
    }
  }

  private long nextPollEventAt() {
    OpenRequest poll = requests.poll();
    return poll != null ? deadline(poll) : schedule.nextPollAt();
  }

  private long nextLatePollEventAt() {
    OpenRequest latePoll = requests.latePoll();
    return latePoll != null ? latePollDeadline(latePoll) : PollSchedule.NOT_SCHEDULED;
  }

  private long latePollDeadline(OpenRequest latePoll) {
    return schedule.latePollDeadline(latePoll.openedAt(), latePoll.lastDataAt());
  }

  private long deadline(OpenRequest poll) {
    return schedule.deadline(poll.openedAt(), poll.lastDataAt());
  }
}
