package rushwood.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Follows the host list that an agent beside this router holds. What the agent has counts as told
 * to the router at once, whatever became of the calls that should bring it; so the router is never
 * out of touch for longer than part of the grace in which sends to a leaving host have to end. The
 * whole list is asked for first, then its changes are watched; while the watch says nothing the
 * list is asked for again, as nothing else proves that the watch still brings what there is. Asks
 * follow each other at part of the grace while the agent is silent, and never wait longer.
 */
public final class EndpointRefreshPolicy {
  /** What makes the calls. Whatever comes of them is told by their numbers. */
  public interface Transport {
    /** Asks for the whole list, or watches the changes after the version {@code since}. */
    void open(int requestNumber, boolean watch, long sinceVersion);

    /** It is of no use any more, as it was {@code silent} too long or another does its work. */
    void close(int requestNumber, boolean timedOut);

    void scheduleWakeup(long at);
  }

  /** What of a listing counts. */
  public enum Acceptance {
    ALL,
    LEAVING_ENDPOINTS
  }

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long HEARTBEAT_NANOS =
      2000 * NANOS_PER_MILLI; // the protocol's: an empty line this often from a watch that lives
  private static final long HEARTBEAT_OVERDUE_NANOS =
      HEARTBEAT_NANOS
          + HEARTBEAT_NANOS / 2; // half a beat late is a standstill; what is missed counts at 6 s
  private static final long MIN_INTERVAL_NANOS =
      25 * NANOS_PER_MILLI; // between asks whatever the grace: 40 a second are some ms of a core's
  // The protocol's: what discovery has and could tell counts as told 6 s later, starts, weights and
  // roles as well as
  // drains. A rest and two patiences, an answer that needs both included, stay two seconds under
  // that at any grace.
  private static final long MAX_STALENESS_NANOS = 4000 * NANOS_PER_MILLI;
  private static final int MAX_TIMEOUTS_PER_RESPONSE =
      4; // patiences that an answer may take from its first byte to its last, at first
  private static final int OLDER_LISTS_UNTIL_ACCEPTED =
      3; // whole lists of an older version, one after the other: so it is now

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
  private final RandomGenerator random;
  private final long pollInterval;
  private final long responseTimeout;
  private final List<OpenRequest> openRequests =
      new ArrayList<>(3); // an ask, a watch, and for a moment the watch after it
  private OpenRequest poll;
  private OpenRequest watch;
  private int nextRequestNumber;
  private int addressGeneration;
  private int listedGeneration = -1; // that the last whole list is from
  private long version;
  private int consecutiveOlderLists; // lists, one after the other
  private boolean listUncertain; // not all of the last news could be read or believed
  private long maxPollDuration;
  private long regularPollAt = Long.MAX_VALUE; // the watch is quiet until then
  private long urgentPollAt = Long.MAX_VALUE; // something is known to be wrong
  private long earliestPollAt = Long.MIN_VALUE;
  private boolean stopped = true;

  /**
   * For the time within which sends to a leaving host have to end, and the version that is held
   * from before.
   */
  public EndpointRefreshPolicy(
      long drainGrace, long version, RandomGenerator random, Transport transport) {
    this.transport = transport;
    this.random = random;
    this.version = version;
    long maxStaleness = Math.min(drainGrace, MAX_STALENESS_NANOS);
    pollInterval = Math.max(MIN_INTERVAL_NANOS, maxStaleness / 2);
    responseTimeout = Math.max(MIN_INTERVAL_NANOS, maxStaleness / 4);
    maxPollDuration = MAX_TIMEOUTS_PER_RESPONSE * responseTimeout;
  }

  /** The version that a call made now need not bring again, or -1. */
  public long skippableVersion() {
    return listUncertain || listedGeneration != addressGeneration ? -1 : version;
  }

  public void start(long now) {
    stopped = false;
    pollUrgently(now);
  }

  /**
   * The agent is at another place; what the old one's watch says counts until the new one has told
   * its list.
   */
  public void addressChanged(long now) {
    addressGeneration++;
    if (poll != null) {
      closeRequest(poll, false);
    }
    earliestPollAt = now;
    pollUrgently(now);
  }

  public void stop() {
    stopped = true;
    List.copyOf(openRequests).forEach(request -> closeRequest(request, false));
  }

  // ---- what comes of the calls

  /**
   * Something came; {@code between} if it left nothing half read. A watch that owes the rest is as
   * good as quiet.
   */
  public void dataReceived(long now, int requestNumber, boolean betweenLists) {
    OpenRequest request = findRequest(requestNumber);
    if (request == null || request.watch && !betweenLists) {
      return;
    }
    // A word on a watch proves that the watch lives, not that it brings what there is: the next ask
    // stands.
    request.lastDataAt = now;
  }

  /**
   * With what a call brought: {@code told} is its version, -1 if it has none, {@code sound} if all
   * could be read.
   */
  public Acceptance listReceived(
      long now, int requestNumber, boolean complete, long listVersion, boolean wellFormed) {
    OpenRequest request = findRequest(requestNumber);
    if (request == null) {
      return Acceptance.LEAVING_ENDPOINTS;
    }
    boolean firstFromAddress =
        complete
            && request.addressGeneration == addressGeneration
            && listedGeneration != addressGeneration;
    boolean goesBack =
        listVersion >= 0
            && listVersion < version
            && !(firstFromAddress && addressGeneration > 0); // a new agent's versions are its own
    if (goesBack && (!complete || ++consecutiveOlderLists < OLDER_LISTS_UNTIL_ACCEPTED)) {
      listUncertain = true;
      pollUrgently(now);
      return Acceptance.LEAVING_ENDPOINTS;
    }
    listUncertain = !wellFormed;
    if (!wellFormed) {
      urgentPollAt = Math.min(urgentPollAt, now + jitteredPollInterval());
      scheduleWakeup();
    }
    boolean changed =
        listVersion < 0 || listVersion != version || listedGeneration != request.addressGeneration;
    version = listVersion >= 0 ? listVersion : version;
    if (complete) {
      consecutiveOlderLists = 0;
      listedGeneration = request.addressGeneration;
    }
    if (request == poll
        && (changed || watch == null || now - watch.lastDataAt > HEARTBEAT_OVERDUE_NANOS)) {
      replaceWatch(now, Math.max(0, listVersion));
    }
    return Acceptance.ALL;
  }

  /**
   * What the old watch did not bring the new one does, and it begins before the old one ends:
   * nothing falls between.
   */
  private void replaceWatch(long now, long sinceVersion) {
    OpenRequest previous = watch;
    watch = openRequest(now, true, sinceVersion);
    if (previous != null) {
      closeRequest(previous, false);
    }
  }

  /** An ask was answered to its end; a watch is to stay open. */
  public void responseCompleted(long now, int requestNumber) {
    OpenRequest request = findRequest(requestNumber);
    if (request != null && request == poll) {
      closeRequest(request, false);
      maxPollDuration = MAX_TIMEOUTS_PER_RESPONSE * responseTimeout;
      regularPollAt = now + jitteredPollInterval();
      scheduleWakeup();
    } else {
      requestFailed(now, requestNumber);
    }
  }

  /**
   * It ended or brought what cannot be read: the list is asked for at once, but that an ask is not
   * long ago.
   */
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

  public void timerFired(long now) {
    if (stopped) {
      return;
    }
    if (poll != null && now >= pollDeadline()) {
      // The agent answers at once or is silent. An answer that came but would not end may be a long
      // one.
      boolean responseStarted = poll.lastDataAt > poll.openedAt;
      maxPollDuration =
          responseStarted
              ? Math.min(2 * maxPollDuration, Math.max(maxPollDuration, HEARTBEAT_NANOS))
              : maxPollDuration;
      closeRequest(poll, true);
      earliestPollAt = now; // it has waited
      pollUrgently(now);
    }
    if (poll == null && now >= nextPollAt()) {
      regularPollAt = Long.MAX_VALUE;
      urgentPollAt = Long.MAX_VALUE;
      earliestPollAt = now + responseTimeout / 2 + random.nextLong(responseTimeout / 2);
      poll = openRequest(now, false, 0);
    }
    scheduleWakeup();
  }

  private void pollUrgently(long now) {
    urgentPollAt = Math.min(urgentPollAt, now);
    scheduleWakeup();
  }

  private long pollDeadline() {
    return Math.min(poll.lastDataAt + responseTimeout, poll.openedAt + maxPollDuration);
  }

  private long nextPollAt() {
    long at = Math.min(regularPollAt, urgentPollAt);
    return at == Long.MAX_VALUE ? at : Math.max(at, earliestPollAt);
  }

  private void scheduleWakeup() {
    long at = poll != null ? pollDeadline() : nextPollAt();
    if (!stopped && at < Long.MAX_VALUE) {
      transport.scheduleWakeup(at);
    }
  }

  /** Up to a quarter less than may be: routers that began together do not stay in step. */
  private long jitteredPollInterval() {
    return pollInterval - random.nextLong(pollInterval / 4);
  }

  // ---- calls

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

  private OpenRequest findRequest(int requestNumber) {
    for (OpenRequest request : openRequests) {
      if (request.number == requestNumber) {
        return request;
      }
    }
    return null;
  }
}
