package rushwood.discovery;

import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;
import java.util.List;
import org.jspecify.annotations.Nullable;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.PartialEndpoint;

/**
 * A poll or watch. Parses the response, asks the {@link EndpointRefreshPolicy} for a decision on
 * each list, and passes the lists to apply to the listener. Used on the event loop only.
 */
final class ListRequest implements DiscoveryConnector.ResponseHandler {
  private final int requestNumber;
  private final boolean isWatch;
  private final EndpointListParser parser;
  private final EventLoopClock clock;
  private final EndpointRefreshPolicy refreshPolicy;
  private final DiscoveryClient.Listener listener;
  private DiscoveryConnector.@Nullable OpenConnection connection; // null until connect() returns
  private boolean closed;

  /**
   * Creates a request that does nothing until {@link #connect}.
   *
   * @param requestNumber identifies the request to the policy
   * @param parser parses the lists in the response
   */
  ListRequest(
      int requestNumber,
      boolean isWatch,
      EndpointListParser parser,
      EventLoopClock clock,
      EndpointRefreshPolicy refreshPolicy,
      DiscoveryClient.Listener listener) {
    this.requestNumber = requestNumber;
    this.isWatch = isWatch;
    this.parser = parser;
    this.clock = clock;
    this.refreshPolicy = refreshPolicy;
    this.listener = listener;
  }

  /** Sends the request without a timeout; the policy closes a poll that takes too long. */
  void connect(DiscoveryConnector connector, InetSocketAddress address, String path) {
    connection = connector.get(address, path, this);
  }

  /** Closes the request, and reports the leaving endpoints of a list that has not ended. */
  void close() {
    closed = true;
    if (connection != null) {
      connection.close();
    }
    try {
      parser.finish();
    } catch (UnreadableListException e) {
      reportLeaving(e.leavingEndpoints());
    }
  }

  @Override
  public void bodyReceived(ByteBuf content, boolean last) {
    if (closed) {
      return;
    }
    try {
      parse(content, last);
    } catch (UnreadableListException e) {
      reportLeaving(e.leavingEndpoints());
      requestFailed("sent an unreadable endpoint list: " + e.getMessage());
      return;
    }
    if (!closed) {
      refreshPolicy.dataReceived(clock.now(), requestNumber, parser.isBetweenLists());
    }
    if (last && !closed) {
      responseEnded();
    }
  }

  /** Parses and handles the lists in {@code content} until one of them closes this request. */
  private void parse(ByteBuf content, boolean last) throws UnreadableListException {
    EndpointList list = parser.next(content);
    while (list != null && !closed) {
      listReceived(list);
      list = parser.next(content);
    }
    if (last && !closed) {
      parser.finish();
    }
  }

  private void listReceived(EndpointList list) {
    list.problems().forEach(listener::problemFound);
    switch (refreshPolicy.listReceived(clock.now(), requestNumber, list)) {
      case IGNORED_REQUEST_CLOSED, IGNORED_OLDER_VERSION -> reportLeaving(list.leavingEndpoints());
      case UNCHANGED -> listener.listUnchanged();
      case APPLIED -> listener.listReceived(list);
    }
  }

  private void reportLeaving(List<PartialEndpoint> endpoints) {
    if (!endpoints.isEmpty()) {
      listener.endpointsLeaving(endpoints);
    }
  }

  private void responseEnded() {
    if (isWatch) {
      requestFailed("ended the watch");
    } else {
      refreshPolicy.responseCompleted(clock.now(), requestNumber);
    }
  }

  @Override
  public void requestFailed(String reason) {
    if (!closed) {
      listener.requestFailed(reason);
      refreshPolicy.requestFailed(clock.now(), requestNumber);
    }
  }
}
