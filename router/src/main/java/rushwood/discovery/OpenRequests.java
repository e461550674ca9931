package rushwood.discovery;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The open requests to the agent: a poll, an earlier poll whose answer is late, a watch and, while
 * the watch is replaced, its successor. Opens and closes them through the {@link
 * EndpointRefreshPolicy.Transport}.
 *
 * <p>Not thread-safe; used on the event loop only.
 */
final class OpenRequests {
  /**
   * A watch without data for this long has stalled: its heartbeat is late by half an interval. The
   * watch is replaced once the next poll has returned the list.
   */
  private static final long WATCH_STALL_TIMEOUT_NANOS =
      DiscoveryProtocol.HEARTBEAT_NANOS + DiscoveryProtocol.HEARTBEAT_NANOS / 2;

  private static final int MAX_OPEN_REQUESTS = 4;

  /** A request. Times are nanoseconds of the caller's clock. */
  static final class OpenRequest {
    private final int number;
    private final boolean isWatch;
    private final long openedAt;
    private long lastDataAt;
    private boolean isToPreviousAgent;

    private OpenRequest(int number, boolean isWatch, long now) {
      this.number = number;
      this.isWatch = isWatch;
      openedAt = now;
      lastDataAt = now;
    }

    long openedAt() {
      return openedAt;
    }

    /**
     * Returns when data that counts as progress last arrived; initially the time at which the
     * request was opened.
     */
    long lastDataAt() {
      return lastDataAt;
    }

    /** Returns whether any data has arrived. */
    boolean hasResponseStarted() {
      return lastDataAt > openedAt;
    }

    /** Returns whether the request was opened before the agent's address changed. */
    boolean isToPreviousAgent() {
      return isToPreviousAgent;
    }

    /**
     * Records that data has arrived. Data on a watch counts only if it ended between lists, because
     * a list that never ends is useless.
     */
    void dataReceived(long now, boolean betweenLists) {
      if (betweenLists || !isWatch) {
        lastDataAt = now;
      }
    }
  }

  private final EndpointRefreshPolicy.Transport transport;
  private final List<OpenRequest> requests = new ArrayList<>(MAX_OPEN_REQUESTS);
  private @Nullable OpenRequest poll; // never to a previous agent
  private @Nullable OpenRequest latePoll; // never to a previous agent
  private @Nullable OpenRequest watch;
  private int nextNumber;

  OpenRequests(EndpointRefreshPolicy.Transport transport) {
    this.transport = transport;
  }

  /** Returns the open poll, or null if there is none. */
  @Nullable OpenRequest poll() {
    return poll;
  }

  /** Returns the poll that was kept open although its answer is late, or null if there is none. */
  @Nullable OpenRequest latePoll() {
    return latePoll;
  }

  /** Returns whether the request is a poll of the current agent, late or not. */
  boolean isPoll(OpenRequest request) {
    return request == poll || request == latePoll;
  }

  /** Keeps the open poll as the late one, so that another can be opened; there must be none. */
  void keepAsLatePoll() {
    latePoll = poll;
    poll = null;
  }

  /** Closes the polls that are open. */
  void closePolls() {
    if (poll != null) {
      close(poll, false);
    }
    if (latePoll != null) {
      close(latePoll, false);
    }
  }

  /** Returns the request with this number, or null if it is closed. */
  @Nullable OpenRequest find(int number) {
    for (OpenRequest request : requests) {
      if (request.number == number) {
        return request;
      }
    }
    return null;
  }

  /** Returns whether there is a watch that has not stalled. */
  boolean isWatchAlive(long now) {
    return watch != null && now - watch.lastDataAt <= WATCH_STALL_TIMEOUT_NANOS;
  }

  /** Opens a poll; none may be open. */
  void openPoll(long now) {
    poll = open(now, false, 0);
  }

  /**
   * Opens a watch of the changes after {@code sinceVersion}, and then closes the previous one, if
   * any. Opening the new watch first ensures that no change is missed in between.
   */
  void replaceWatch(long now, long sinceVersion) {
    OpenRequest previous = watch;
    watch = open(now, true, sinceVersion);
    if (previous != null) {
      close(previous, false);
    }
  }

  private OpenRequest open(long now, boolean isWatch, long sinceVersion) {
    OpenRequest request = new OpenRequest(nextNumber++, isWatch, now);
    requests.add(request);
    transport.open(request.number, isWatch, sinceVersion);
    return request;
  }

  /**
   * Closes a request.
   *
   * @param timedOut whether it is closed because the agent did not respond in time
   */
  void close(OpenRequest request, boolean timedOut) {
    requests.remove(request);
    if (request == poll) {
      poll = null;
    }
    if (request == latePoll) {
      latePoll = null;
    }
    if (request == watch) {
      watch = null;
    }
    transport.close(request.number, timedOut);
  }

  void closeAll() {
    List.copyOf(requests).forEach(request -> close(request, false));
  }

  /** Closes the polls, and marks the watch as one of the previous agent, without closing it. */
  void agentChanged() {
    closePolls();
    requests.forEach(request -> request.isToPreviousAgent = true);
  }
}
