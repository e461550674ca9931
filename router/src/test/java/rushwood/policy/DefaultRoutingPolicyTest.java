package rushwood.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.HostId;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.api.NoPolicyActions;
import rushwood.api.RequestId;
import rushwood.api.RoutingSettings;

/** Tests calls with ids that the policy does not know; {@link ScenarioTest} covers the rest. */
class DefaultRoutingPolicyTest {
  private static final HostId HOST = new HostId("a");

  private final DefaultRoutingPolicy policy =
      new DefaultRoutingPolicy(
          RoutingSettings.builder().build(), new SplittableRandom(1), new NoPolicyActions());

  @Test
  void throwsForHealthCheckOfUnknownHost() {
    var exception =
        assertThrows(
            IllegalArgumentException.class,
            () -> policy.healthCheckFinished(0, HOST, true, LoadReport.NONE));
    assertEquals("unknown host a", exception.getMessage());
  }

  @Test
  void throwsForResultOfUnknownAttempt() {
    AttemptResult result =
        new AttemptResult(
            new RequestId("r"),
            0,
            HOST,
            AttemptOutcome.SUCCESS,
            1,
            true,
            HostRole.UNKNOWN,
            AttemptResult.NO_POSITION,
            LoadReport.NONE);
    var exception =
        assertThrows(IllegalArgumentException.class, () -> policy.attemptFinished(0, result));
    assertEquals("unknown attempt 0 of r", exception.getMessage());
  }
}
