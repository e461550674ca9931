package rushwood.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Decides when to poll the discovery agent for the complete list and when to watch its changes, so
 * that the router's list is never older than part of the drain grace, whatever fails.
 *
 * <p>The platform takes the router to know a change as soon as the agent has it, whether or not a
 * request has brought it. So the complete list is polled first, then its changes are watched. As
 * the heartbeats of a watch do not prove that it still delivers changes, the complete list is also
 * polled again at intervals that follow from the grace. {@link PollSchedule} has the times, {@link
 * ListAcceptancePolicy} rejects old lists.
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

  /** How much of a received list is to be applied. */
  public enum Acceptance {
    /** All of it. */
    ALL,
    /** Only that endpoints are draining or removed: the list may be an old one. */
    LEAVING_ENDPOINTS
  }

  /**
   * A watch without data for so long has stalled: its heartbeat is late by half an interval. It is
   * replaced when the next poll has brought the list.
   */
  private static final long HEARTBEAT_OVERDUE_NANOS =
      DiscoveryProtocol.HEARTBEAT_NANOS + DiscoveryProtocol.HEARTBEAT_NANOS / 2;

  /** A poll, a watch and, while a watch is replaced, its successor. */
  private static final int MAX_OPEN_REQUESTS = 3;

  private static final class OpenRequest {
    final int number;
    final boolean watch;
    final long openedAt;
    long lastDataAt;
    boolean isToFormerAgent; // opened before the agent's address changed

    OpenRequest(int number, boolean watch, long now) {
      this.number = number;
      this.watch = watch;
      openedAt = now;
      lastDataAt = now;
    }
  }

  private final Transport transport;
  private final PollSchedule schedule;
  private final List<OpenRequest> openRequests = new ArrayList<>(MAX_OPEN_REQUESTS);
  private final ListAcceptancePolicy versions;
  private OpenRequest poll; // null if none is open; never one to a former agent
  private OpenRequest watch; // null if none is open
  private int nextRequestNumber;
  private boolean listUncertain; // the last list was not accepted, or not readable, in full
  private boolean stopped = true;

  /**
   * Creates a policy that does nothing until {@link #start}.
   *
   * @param drainGraceNanos time after which a leaving endpoint may get nothing new
   * @param version version of the list held from an earlier process, 0 for none
   */
  public EndpointRefreshPolicy(
      long drainGraceNanos, long version, RandomGenerator random, Transport transport) {
    this.transport = transport;
    versions = new ListAcceptancePolicy(version);
    schedule = new PollSchedule(drainGraceNanos, random);
  }

  /** The version that a poll made now need not decode again; empty if any list is wanted. */
  public OptionalLong cachedVersion() {
    return listUncertain ? OptionalLong.empty() : versions.currentAgentVersion();
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
    versions.agentChanged();
    if (poll != null) {
      closeRequest(poll, false);
    }
    openRequests.forEach(request -> request.isToFormerAgent = true);
    schedule.pollImmediately(now);
    scheduleWakeup();
  }

  /** Closes all requests and opens no more. */
  public void stop() {
    stopped = true;
    List.copyOf(openRequests).forEach(request -> closeRequest(request, false));
  }

  // ---- events of the requests

  /**
   * Data has arrived, which puts off the deadline of a poll and shows that a watch is alive; that
   * of a watch only if it ended {@code betweenLists}, as a list that never ends is of no use. It
   * does not show that the watch delivers all changes, so the next poll stays as scheduled.
   */
  public void dataReceived(long now, int requestNumber, boolean betweenLists) {
    OpenRequest request = findRequest(requestNumber);
    if (request != null && (betweenLists || !request.watch)) {
      request.lastDataAt = now;
    }
  }

  /**
   * A list has arrived.
   *
   * @param complete whether it is the complete list
   * @param listVersion its version, empty if it could not be read
   * @param wellFormed whether all of it could be read
   * @return how much of it to apply
   */
  public Acceptance listReceived(
      long now, int requestNumber, boolean complete, OptionalLong listVersion, boolean wellFormed) {
    OpenRequest request = findRequest(requestNumber);
    if (request == null) {
      return Acceptance.LEAVING_ENDPOINTS;
    }
    boolean changed = versions.isChange(listVersion);
    if (!versions.accept(complete, listVersion, !request.isToFormerAgent)) {
      listUncertain = true;
      pollUrgently(now);
      return Acceptance.LEAVING_ENDPOINTS;
    }
    listUncertain = !wellFormed;
    if (!wellFormed) {
      schedule.pollWithinInterval(now);
      scheduleWakeup();
    }
    if (request == poll && (changed || !isWatchAlive(now))) {
      replaceWatch(now, listVersion.orElse(0));
    }
    return Acceptance.ALL;
  }

  private boolean isWatchAlive(long now) {
    return watch != null && now - watch.lastDataAt <= HEARTBEAT_OVERDUE_NANOS;
  }

  /** The new watch is opened before the old one is closed: no change falls between them. */
  private void replaceWatch(long now, long sinceVersion) {
    OpenRequest previous = watch;
    watch = openRequest(now, true, sinceVersion);
    if (previous != null) {
      closeRequest(previous, false);
    }
  }

  /** The agent has ended a response; that of a watch should stay open, so its end is a failure. */
  public void responseCompleted(long now, int requestNumber) {
    OpenRequest request = findRequest(requestNumber);
    if (request != null && request == poll) {
      closeRequest(request, false);
      schedule.pollCompleted(now);
      scheduleWakeup();
    } else {
      requestFailed(now, requestNumber);
    }
  }

  /** A request could not be made, broke off or brought what cannot be read. */
  public void requestFailed(long now, int requestNumber) {
    OpenRequest request = findRequest(requestNumber);
    if (request != null) {
      closeRequest(request, false);
      listUncertain = true;
      if (!request.isToFormerAgent) {
        pollUrgently(now);
      }
    }
  }

  // ---- time

  /** The time given to {@link Transport#scheduleWakeup} has come. */
  public void timerFired(long now) {
    if (stopped) {
      return;
    }
    if (poll != null && now >= pollDeadline()) {
      boolean responseStarted = poll.lastDataAt > poll.openedAt;
      closeRequest(poll, true);
      schedule.pollTimedOut(now, responseStarted);
      scheduleWakeup();
    }
    if (poll == null && now >= schedule.nextPollAt()) {
      schedule.pollStarted(now);
      poll = openRequest(now, false, 0);
    }
    scheduleWakeup();
  }

  private void pollUrgently(long now) {
    schedule.pollUrgently(now);
    scheduleWakeup();
  }

  private long pollDeadline() {
    return schedule.deadline(poll.openedAt, poll.lastDataAt);
  }

  private void scheduleWakeup() {
    long at = poll != null ? pollDeadline() : schedule.nextPollAt();
    if (!stopped && at != PollSchedule.NEVER) {
      transport.scheduleWakeup(at);
    }
  }

  // ---- requests

  private OpenRequest openRequest(long now, boolean isWatch, long sinceVersion) {
    OpenRequest request = new OpenRequest(nextRequestNumber++, isWatch, now);
    openRequests.add(request);
    transport.open(request.number, isWatch, sinceVersion);
    return request;
  }

  private void closeRequest(OpenRequest request, boolean timedOut) {
    openRequests.remove(request);
    poll = request == poll ? null : poll;
    watch = request == watch ? null : watch;
    transport.close(request.number, timedOut);
  }

  /** Returns null for a request that has been closed; events of it are ignored. */
  private OpenRequest findRequest(int requestNumber) {
    for (OpenRequest request : openRequests) {
      if (request.number == requestNumber) {
        return request;
      }
    }
    return null;
  }
}
