package rushwood.net;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import rushwood.dispatch.EventLoopClock;

/**
 * The connections that the router has ended and that are not closed yet. They use descriptors of
 * the router's own share, so only a few may linger: of more, the one that has had the most time is
 * closed.
 */
final class LingeringConnections {
  private static final int MAX_LINGERING = 4;

  private final EventLoopClock clock;
  private final Set<LingeringClose> connections = new LinkedHashSet<>(); // oldest first
  private boolean limited = true;

  LingeringConnections(EventLoopClock clock) {
    this.clock = clock;
  }

  /** Ends a connection from the router's side. */
  void add(LingeringClose connection) {
    if (limited && connections.size() >= MAX_LINGERING) {
      connections.iterator().next().channel.close();
    }
    connections.add(connection);
    connection.startLingering(clock.now());
    connection.channel.closeFuture().addListener(closed -> connections.remove(connection));
  }

  /** During shutdown no descriptors are needed for new connections: any number may linger. */
  void removeLimit() {
    limited = false;
  }

  /** Closes those whose time is over. */
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
