package rushwood.discovery;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The requests to the agent that are open: a poll, a watch and, while a watch is replaced, its
 * successor. Opens and closes them through the {@link EndpointRefreshPolicy.Transport}.
 *
 * <p>Not thread-safe; used on the event loop only.
 */
final class OpenRequests {
  /**
   * A watch without data for so long has stalled: its heartbeat is late by half an interval. It is
   * replaced when the next poll has brought the list.
   */
  private static final long HEARTBEAT_OVERDUE_NANOS =
      DiscoveryProtocol.HEARTBEAT_NANOS + DiscoveryProtocol.HEARTBEAT_NANOS / 2;

  private static final int MAX_OPEN_REQUESTS = 3;

  /** One request; times are nanoseconds of the caller's clock. */
  static final class OpenRequest {
    private final int number;
    private final boolean isWatch;
    private final long openedAt;
    private long lastDataAt;
    private boolean isToFormerAgent;

    private OpenRequest(int number, boolean isWatch, long now) {
      this.number = number;
      this.isWatch = isWatch;
      openedAt = now;
      lastDataAt = now;
    }

    long openedAt() {
      return openedAt;
    }

    /** When data came last that puts off the end of this request; at first, when it was opened. */
    long lastDataAt() {
      return lastDataAt;
    }

    /** Whether it was opened before the agent's address changed. */
    boolean isToFormerAgent() {
      return isToFormerAgent;
    }

    /**
     * Data has arrived. That of a watch counts only if it ended {@code betweenLists}, as a list
     * that never ends is of no use.
     */
    void dataReceived(long now, boolean betweenLists) {
      if (betweenLists || !isWatch) {
        lastDataAt = now;
      }
    }
  }

  private final EndpointRefreshPolicy.Transport transport;
  private final List<OpenRequest> requests = new ArrayList<>(MAX_OPEN_REQUESTS);
  private @Nullable OpenRequest poll; // never one to a former agent
  private @Nullable OpenRequest watch;
  private int nextNumber;

  OpenRequests(EndpointRefreshPolicy.Transport transport) {
    this.transport = transport;
  }

  /** The poll that is open, null if there is none. */
  @Nullable OpenRequest poll() {
    return poll;
  }

  /** The request of that number, null if it has been closed; events of such a one are ignored. */
  @Nullable OpenRequest find(int number) {
    for (OpenRequest request : requests) {
      if (request.number == number) {
        return request;
      }
    }
    return null;
  }

  /** Whether there is a watch whose heartbeat is not overdue. */
  boolean isWatchAlive(long now) {
    return watch != null && now - watch.lastDataAt <= HEARTBEAT_OVERDUE_NANOS;
  }

  /** Opens a poll; there must be none. */
  void openPoll(long now) {
    poll = open(now, false, 0);
  }

  /**
   * Opens a watch of the changes after {@code sinceVersion}, and only then closes the one before,
   * if there is one: no change falls between them.
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

  /** Closes a request; {@code timedOut} if that is because the agent did not respond in time. */
  void close(OpenRequest request, boolean timedOut) {
    requests.remove(request);
    if (request == poll) {
      poll = null;
    }
    if (request == watch) {
      watch = null;
    }
    transport.close(request.number, timedOut);
  }

  void closeAll() {
    List.copyOf(requests).forEach(request -> close(request, false));
  }

  /** Closes the poll. A watch stays open; it is one to a former agent from now on. */
  void agentChanged() {
    if (poll != null) {
      close(poll, false);
    }
    requests.forEach(request -> request.isToFormerAgent = true);
  }
}
