package rushwood.policy;

import rushwood.api.GroupId;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestClassFixture;
import rushwood.api.RequestId;

/** Objects that tests of single classes of the policy need. */
final class PolicyFixtures {
  static final long SECOND = 1_000_000_000L;

  private PolicyFixtures() {}

  /** An idempotent read of class 0 that arrives at time 0, with a deadline a second later. */
  static PendingRequest pendingRead(String id) {
    return pendingRead(id, new GroupState());
  }

  static PendingRequest pendingRead(String id, GroupState group) {
    RequestClass read = RequestClassFixture.eventualRead("read", 0, SECOND / 2);
    Request request = new Request(new RequestId(id), read, null, new GroupId(0), SECOND, 0);
    return new PendingRequest(request, group, 0);
  }
}
