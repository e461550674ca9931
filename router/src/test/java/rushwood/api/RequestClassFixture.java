package rushwood.api;

import rushwood.api.RequestClass.Consistency;
import rushwood.api.RequestClass.Idempotency;
import rushwood.api.RequestClass.KeyScope;

/** Request classes for tests of several packages. */
public final class RequestClassFixture {
  private RequestClassFixture() {}

  /** Returns a class of idempotent reads that any host may answer; late answers are worthless. */
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
