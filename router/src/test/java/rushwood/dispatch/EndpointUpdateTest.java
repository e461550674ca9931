package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static rushwood.dispatch.DispatcherFixture.HOST;
import static rushwood.dispatch.DispatcherFixture.REQUEST;
import static rushwood.dispatch.DispatcherFixture.endpoint;
import static rushwood.dispatch.DispatcherFixture.host;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import rushwood.api.AttemptOutcome;
import rushwood.api.Endpoint;

/** Tests the effects of endpoint list changes on connections and unwritten exchanges. */
class EndpointUpdateTest {
  @RegisterExtension final DispatcherFixture fixture = new DispatcherFixture();

  @Test
  void idleConnectionsOfDrainingHostAreClosed() {
    DispatcherFixture.FakeConnection connection = fixture.serveRequest();
    fixture.updateEndpoints(host(Endpoint.State.DRAINING));
    assertFalse(connection.open);
  }

  /** No statement is written, and the results are reported to the policy. */
  @Test
  void exchangesAreWithheldIfHostDrainsOrIsRemovedWhileConnecting() {
    for (Endpoint.State state : List.of(Endpoint.State.DRAINING, Endpoint.State.REMOVED)) {
      fixture.onAttemptFinished = () -> fixture.actions.reject(REQUEST, 0);
      fixture.replaceEndpoints(host(Endpoint.State.READY));
      fixture.recorded.clear();
      fixture.receiveRequest();
      DispatcherFixture.FakeConnection connection = fixture.latestConnection();
      fixture.actions.checkHealth(HOST);
      DispatcherFixture.FakeConnection healthCheck = fixture.latestConnection();
      fixture.loop.advanceBy(50);
      fixture.updateEndpoints(host(state));
      fixture.expectRecorded(
          "updated 1", "0 NOT_SENT after 50", "released", "rejection 0", "checked false");
      assertEquals(List.of(false, false), List.of(connection.open, healthCheck.open));
      assertEquals(List.of(), connection.sent);
    }
    assertEquals(4, fixture.counters.get(Counter.ATTEMPTS_WITHHELD));
  }

  /** Covers a list without the host and a list with a partial entry that says it is draining. */
  @Test
  void exchangeIsWithheldIfCompleteListRemovesOrDrainsHost() {
    fixture.onAttemptFinished = () -> fixture.actions.reject(REQUEST, 0);
    PartialEndpoint draining = new PartialEndpoint(HOST, Endpoint.State.DRAINING);
    for (List<PartialEndpoint> partials : List.of(List.<PartialEndpoint>of(), List.of(draining))) {
      fixture.replaceEndpoints(host(Endpoint.State.READY));
      fixture.receiveRequest();
      fixture.dispatcher.endpointsReplaced(List.of(), partials, false);
      fixture.expectRecorded("0 NOT_SENT after 0", "released", "rejection 0");
    }
  }

  @Test
  void hostWithUnreadableStateKeepsItsState() {
    fixture.replaceEndpoints(host(Endpoint.State.DRAINING));
    fixture.replaceEndpoints(host(Endpoint.State.READY));
    fixture.dispatcher.endpointsReplaced(
        List.of(), List.of(new PartialEndpoint(HOST, null)), false);
    assertEquals(1, fixture.dispatcher.endpointCount());
    fixture.serveRequest();
    fixture.expectRecorded("result", "0 SUCCESS answered after 0", "released");
  }

  @Test
  void removedHostIsStillUsedIfRemovalIsNotBinding() {
    fixture.start(false);
    fixture.replaceEndpoints(host(Endpoint.State.READY));
    fixture.updateEndpoints(host(Endpoint.State.REMOVED));
    fixture.replaceEndpoints();
    fixture.recorded.clear();
    fixture.serveRequest();
    fixture.expectRecorded("result", "0 SUCCESS answered after 0", "released");
    fixture.updateEndpoints(host(Endpoint.State.DRAINING));
    fixture.updateEndpoints(host(Endpoint.State.REMOVED));
    fixture.actions.checkHealth(HOST);
    fixture.expectRecorded("updated 1", "updated 1", "checked false");
    fixture.replaceEndpoints(host(Endpoint.State.READY));
    fixture.serveRequest();
    fixture.expectRecorded("result", "0 SUCCESS answered after 0", "released");
  }

  /** Removed hosts must not accumulate; a removed host may be listed again. */
  @Test
  void removedHostsAreDeleted() {
    DispatcherFixture.FakeConnection connection = fixture.receiveRequestAndConnect();
    for (int i = 0; i < 300; i++) {
      fixture.updateEndpoints(endpoint("h" + i, i + 1, Endpoint.State.READY));
      fixture.updateEndpoints(endpoint("h" + i, i + 1, Endpoint.State.REMOVED));
    }
    assertEquals(1, fixture.dispatcher.endpointCount());
    fixture.updateEndpoints(host(Endpoint.State.REMOVED));
    connection.respond(AttemptOutcome.SUCCESS);
    assertFalse(connection.open, "the connection of a removed host is closed");
    fixture.replaceEndpoints(host(Endpoint.State.READY));
    fixture.serveRequest();
    assertEquals(2, fixture.connections.size());
  }

  @Test
  void removalOfUnknownHostIsIgnored() {
    fixture.updateEndpoints(endpoint("z", 1, Endpoint.State.REMOVED));
    fixture.expectRecorded("updated 0");
  }

  /** A list from the time before a restart must not be used for longer than the drain grace. */
  @Test
  void suspendedHostsGetNothingUntilTheyAreListedAsReady() {
    fixture.onAttemptFinished = () -> fixture.actions.reject(REQUEST, 0);
    DispatcherFixture.FakeConnection idle = fixture.serveRequest();
    fixture.receiveRequest();
    DispatcherFixture.FakeConnection connecting = fixture.latestConnection();
    fixture.recorded.clear();
    fixture.dispatcher.suspendEndpoints();
    fixture.expectRecorded("updated 1", "0 NOT_SENT after 0", "released", "rejection 0");
    assertEquals(List.of(false, false), List.of(idle.open, connecting.open));
    fixture.receiveRequest();
    fixture.expectRecorded("0 NOT_SENT after 0", "released", "rejection 0");
    assertEquals(List.of(), connecting.sent);
    fixture.replaceEndpoints(host(Endpoint.State.READY));
    assertEquals(1, fixture.serveRequest().sent.size());
  }
}
