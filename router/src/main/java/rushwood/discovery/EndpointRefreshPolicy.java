package rushwood.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Decides when to poll the discovery agent for the complete list and when to watch its changes, so
 * that the router's list is never older than part of the drain grace, whatever fails.
 *
 * <p>What the agent has counts as announced to the router at once, whether or not a request brought
 * it. So the complete list is polled first, then its changes are watched, and the list is polled
 * again at intervals that follow from the grace: no heartbeat of a watch proves that the watch
 * still brings what there is. {@link PollSchedule} has the times.
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
   * A watch that is half an interval late has stalled. What is missed counts after 6 s, so that the
   * poll that follows is in time.
   */
  private static final long HEARTBEAT_OVERDUE_NANOS =
      DiscoveryProtocol.HEARTBEAT_NANOS + DiscoveryProtocol.HEARTBEAT_NANOS / 2;

  /** After so many complete lists of an older version in a row, the older version is accepted. */
  private static final int OLDER_LISTS_UNTIL_ACCEPTED = 3;

  /** A poll, a watch and, while a watch is replaced, its successor. */
  private static final int MAX_OPEN_REQUESTS = 3;

  private static final int NO_GENERATION = -1;

  private static final class OpenRequest {
    final int number;
    final boolean watch;
    final int addressGeneration;
    final long openedAt;
    long lastDataAt;

    OpenRequest(int number, boolean watch, int addressGeneration, long now) {
      this.number = number;
      this.watch = watch;
      this.addressGeneration = addressGeneration;
      openedAt = now;
      lastDataAt = now;
    }
  }

  private final Transport transport;
  private final PollSchedule schedule;
  private final List<OpenRequest> openRequests = new ArrayList<>(MAX_OPEN_REQUESTS);
  private OpenRequest poll;
  private OpenRequest watch;
  private int nextRequestNumber;
  private int addressGeneration; // counts the agent's addresses
  private int listedGeneration = NO_GENERATION; // of the agent that sent the last complete list
  private long version;
  private int consecutiveOlderLists;
  private boolean listUncertain; // the last list was not accepted, or not readable, in full
  private boolean stopped = true;

  /**
   * Creates a policy that does nothing until {@link #start}.
   *
   * @param drainGrace nanoseconds after which a leaving endpoint may get nothing new
   * @param version version of the list held from an earlier process, 0 for none
   */
  public EndpointRefreshPolicy(
      long drainGrace, long version, RandomGenerator random, Transport transport) {
    this.transport = transport;
    this.version = version;
    schedule = new PollSchedule(drainGrace, random);
  }

  /** The version that a poll made now need not decode again; empty if any list is wanted. */
  public OptionalLong skippableVersion() {
    boolean listed = listedGeneration == addressGeneration;
    return listUncertain || !listed ? OptionalLong.empty() : OptionalLong.of(version);
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
    addressGeneration++;
    if (poll != null) {
      closeRequest(poll, false);
    }
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
   * Data has arrived. Of a watch it counts only if it ended {@code betweenLists}: half a list is as
   * good as silence. It proves that the watch lives, not that it brings what there is, so the next
   * poll stays as scheduled.
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
    if (isOlder(request, complete, listVersion) && !acceptOlder(complete)) {
      listUncertain = true;
      pollUrgently(now);
      return Acceptance.LEAVING_ENDPOINTS;
    }
    listUncertain = !wellFormed;
    if (!wellFormed) {
      schedule.pollWithinInterval(now);
      scheduleWakeup();
    }
    boolean changed = isChange(request, listVersion);
    version = listVersion.orElse(version);
    if (complete) {
      consecutiveOlderLists = 0;
      listedGeneration = request.addressGeneration;
    }
    if (request == poll && (changed || !watchIsAlive(now))) {
      replaceWatch(now, listVersion.orElse(0));
    }
    return Acceptance.ALL;
  }

  /** Whether the version goes back. That of the first list of another agent may: it is its own. */
  private boolean isOlder(OpenRequest request, boolean complete, OptionalLong listVersion) {
    boolean firstFromNewAgent =
        complete
            && addressGeneration > 0
            && request.addressGeneration == addressGeneration
            && listedGeneration != addressGeneration;
    return listVersion.isPresent() && listVersion.getAsLong() < version && !firstFromNewAgent;
  }

  private boolean acceptOlder(boolean complete) {
    if (complete) {
      consecutiveOlderLists++;
    }
    return complete && consecutiveOlderLists >= OLDER_LISTS_UNTIL_ACCEPTED;
  }

  private boolean isChange(OpenRequest request, OptionalLong listVersion) {
    return listVersion.isEmpty()
        || listVersion.getAsLong() != version
        || listedGeneration != request.addressGeneration;
  }

  private boolean watchIsAlive(long now) {
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
      if (request.addressGeneration == addressGeneration) {
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
    if (!stopped && at < Long.MAX_VALUE) {
      transport.scheduleWakeup(at);
    }
  }

  // ---- requests

  private OpenRequest openRequest(long now, boolean isWatch, long sinceVersion) {
    OpenRequest request = new OpenRequest(nextRequestNumber++, isWatch, addressGeneration, now);
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

  /** Null for a request that has been closed: its late events say nothing. */
  private OpenRequest findRequest(int requestNumber) {
    for (OpenRequest request : openRequests) {
      if (request.number == requestNumber) {
        return request;
      }
    }
    return null;
  }
}
