package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import org.junit.jupiter.api.Test;
import rushwood.api.AttemptOutcome;
import rushwood.api.Endpoint;

/** What changes to the endpoint list do to connections and to attempts that are not written. */
class EndpointUpdateTest extends DispatcherFixture {
  @Test
  void idleConnectionsOfDrainingHostAreClosed() {
    FakeConnection connection = serveRequest();
    updateEndpoints(host(Endpoint.State.DRAINING));
    assertFalse(connection.open);
  }

  /** Nothing of the exchanges is written, and the policy hears of them to choose anew. */
  @Test
  void exchangesAreWithheldIfTheirHostLeavesWhileTheirConnectionComesUp() {
    for (Endpoint.State state : List.of(Endpoint.State.DRAINING, Endpoint.State.REMOVED)) {
      onAttemptFinished = () -> actions.reject(REQUEST, 0);
      replaceEndpoints(host(Endpoint.State.READY));
      recorded.clear();
      receiveRequest();
      FakeConnection connection = latestConnection();
      actions.checkHealth(HOST);
      FakeConnection healthCheck = latestConnection();
      loop.advanceBy(50);
      updateEndpoints(host(state));
      expectRecorded(
          "updated 1", "0 NOT_SENT after 50", "released", "rejection 0", "checked false");
      assertEquals(List.of(false, false), List.of(connection.open, healthCheck.open));
      assertEquals(List.of(), connection.sent);
    }
    assertEquals(4, counters.get(Counter.ATTEMPTS_WITHHELD));
  }

  /** A list that does not name the host, and one with a partial entry for it, say the same. */
  @Test
  void wholeListTellsThatHostLeaves() {
    onAttemptFinished = () -> actions.reject(REQUEST, 0);
    PartialEndpoint draining = new PartialEndpoint(HOST, Endpoint.State.DRAINING);
    for (List<PartialEndpoint> partials : List.of(List.<PartialEndpoint>of(), List.of(draining))) {
      replaceEndpoints(host(Endpoint.State.READY));
      receiveRequest();
      dispatcher.endpointsReplaced(List.of(), partials, false);
      expectRecorded("0 NOT_SENT after 0", "released", "rejection 0");
    }
  }

  @Test
  void hostOfWhichOnlyTheIdCanBeReadStaysAsItIs() {
    replaceEndpoints(host(Endpoint.State.DRAINING));
    replaceEndpoints(host(Endpoint.State.READY));
    dispatcher.endpointsReplaced(List.of(), List.of(new PartialEndpoint(HOST, null)), false);
    assertEquals(1, dispatcher.endpointCount());
    serveRequest();
    expectRecorded("result", "0 SUCCESS answered after 0", "released");
  }

  @Test
  void removedHostIsStillUsedWhereRemovalDoesNotBind() {
    start(false);
    replaceEndpoints(host(Endpoint.State.READY));
    updateEndpoints(host(Endpoint.State.REMOVED));
    replaceEndpoints();
    recorded.clear();
    serveRequest();
    expectRecorded("result", "0 SUCCESS answered after 0", "released");
    updateEndpoints(host(Endpoint.State.DRAINING));
    updateEndpoints(host(Endpoint.State.REMOVED));
    actions.checkHealth(HOST);
    expectRecorded("updated 1", "updated 1", "checked false");
    replaceEndpoints(host(Endpoint.State.READY));
    serveRequest();
    expectRecorded("result", "0 SUCCESS answered after 0", "released");
  }

  /** Of hundreds of hosts that come and go the present ones are kept; an id may come back. */
  @Test
  void removedHostsAreForgotten() {
    FakeConnection connection = receiveRequestAndConnect();
    for (int i = 0; i < 300; i++) {
      updateEndpoints(endpoint("h" + i, i + 1, Endpoint.State.READY));
      updateEndpoints(endpoint("h" + i, i + 1, Endpoint.State.REMOVED));
    }
    assertEquals(1, dispatcher.endpointCount());
    updateEndpoints(host(Endpoint.State.REMOVED));
    connection.respond(AttemptOutcome.SUCCESS);
    assertFalse(connection.open, "a forgotten host's connection is not kept");
    replaceEndpoints(host(Endpoint.State.READY));
    serveRequest();
    assertEquals(2, connections.size());
  }

  @Test
  void removalOfAnUnknownHostIsLeftOut() {
    updateEndpoints(endpoint("z", 1, Endpoint.State.REMOVED));
    expectRecorded("updated 0");
  }
}
