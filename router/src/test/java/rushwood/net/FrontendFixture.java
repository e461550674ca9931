package rushwood.net;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.ZoneId;
import rushwood.dispatch.ConnectionSettings;
import rushwood.dispatch.EndpointAddress;
import rushwood.dispatch.FakeEventLoop;
import rushwood.dispatch.RequestDispatcher;
import rushwood.overload.ConnectBackoff;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.DescriptorBudget;
import rushwood.protocol.TestMessages;

/** Creates a frontend whose requests stay pending. */
final class FrontendFixture {
  private FrontendFixture() {}

  /** Creates a dispatcher with one host, in group 2, to which it never connects. */
  static RequestDispatcher createDispatcher(
      FakeEventLoop loop, DescriptorBudget descriptors, PendingPolicy policy) {
    ConnectionSettings settings =
        new ConnectionSettings(
            descriptors, new ConnectBackoff(new SplittableRandom(1), true), 1, 1, true, 1);
    RequestDispatcher dispatcher =
        new RequestDispatcher(
            loop.clock,
            loop.timers,
            loop.counters,
            settings,
            null,
            (level, line) -> {},
            policy::attach);
    Endpoint endpoint =
        new Endpoint(
            new HostId("a"), new GroupId(2), new ZoneId(""), 1, 0, false, Endpoint.State.READY);
    dispatcher.endpointsReplaced(
        List.of(new EndpointAddress(endpoint, new InetSocketAddress("127.0.0.1", 1))), false);
    return dispatcher;
  }

  /** Creates a server in front of such a dispatcher. */
  static FrontendServer createServer(
      FakeEventLoop loop,
      DescriptorBudget descriptors,
      ConnectionAdmission admission,
      long retryAfterNanos) {
    return new FrontendServer(
        createDispatcher(loop, descriptors, new PendingPolicy()),
        loop.clock,
        loop.timers,
        loop.counters,
        TestMessages.REQUEST_CLASSES,
        new ConnectionLimits(admission, descriptors, () -> retryAfterNanos),
        new SplittableRandom(1));
  }
}
