package rushwood.net;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import rushwood.dispatch.EventLoopClock;

/**
 * The connections that the router is closing and whose channels are still open. They use
 * descriptors that are reserved for the router itself, so only {@link #MAX_LINGERING} may linger at
 * once; the oldest one is closed to make room for another.
 */
final class LingeringConnections {
  private static final int MAX_LINGERING = 4;

  private final EventLoopClock clock;
  private final Set<LingeringClose> connections = new LinkedHashSet<>(); // oldest first
  private boolean limited = true;

  LingeringConnections(EventLoopClock clock) {
    this.clock = clock;
  }

  /** Starts to close the connection and keeps it until its channel is closed. */
  void add(LingeringClose connection) {
    if (limited && connections.size() >= MAX_LINGERING) {
      connections.iterator().next().channel.close();
    }
    connections.add(connection);
    connection.startLingering(clock.now());
    connection.channel.closeFuture().addListener(closed -> connections.remove(connection));
  }

  /** Lifts the limit for shutdown, when no descriptors are needed for new connections. */
  void removeLimit() {
    limited = false;
  }

  /** Closes the connections whose deadline has passed. */
  void checkDeadlines() {
    List.copyOf(connections).forEach(connection -> connection.checkDeadline(clock.now()));
  }

  void closeAll() {
    List.copyOf(connections).forEach(connection -> connection.channel.close());
  }

  int size() {
    return connections.size();
  }
}
