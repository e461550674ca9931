package rushwood.api;

import rushwood.api.RequestClass.Consistency;
import rushwood.api.RequestClass.Idempotency;
import rushwood.api.RequestClass.KeyScope;

/** Request classes that tests of several packages need. */
public final class RequestClassFixture {
  private RequestClassFixture() {}

  /** Idempotent reads that any member may answer; late answers have no value. */
  public static RequestClass eventualRead(String name, int index, long latencyObjectiveNanos) {
    return new RequestClass(
        name,
        index,
        latencyObjectiveNanos,
        Idempotency.IDEMPOTENT,
        KeyScope.GLOBAL,
        0,
        false,
        Consistency.EVENTUAL,
        0,
        0);
  }
}
