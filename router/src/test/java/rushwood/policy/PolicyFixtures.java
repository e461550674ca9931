package rushwood.policy;

import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestClassFixture;
import rushwood.api.RequestId;
import rushwood.api.ZoneId;

/** Creates objects for tests of single classes of the policy. */
final class PolicyFixtures {
  static final long SECOND = 1_000_000_000L;

  private PolicyFixtures() {}

  /** Returns a listed host that serves no group yet, with a concurrency limit of 1. */
  static HostState host(String id, double weight) {
    Endpoint endpoint =
        new Endpoint(
            new HostId(id),
            new GroupId(0),
            new ZoneId("z"),
            weight,
            0,
            false,
            Endpoint.State.READY);
    return new HostState(endpoint, 1);
  }

  /**
   * Returns an idempotent read of class 0 that arrives at time 0 and has a deadline of one second.
   */
  static PendingRequest pendingRead(String id) {
    return pendingRead(id, new GroupState());
  }

  static PendingRequest pendingRead(String id, GroupState group) {
    RequestClass read = RequestClassFixture.eventualRead("read", 0, SECOND / 2);
    Request request = new Request(new RequestId(id), read, null, new GroupId(0), SECOND, 0);
    return new PendingRequest(request, group, 0);
  }
}
