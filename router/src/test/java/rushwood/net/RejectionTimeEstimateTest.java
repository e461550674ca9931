package rushwood.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RejectionTimeEstimateTest {
  private final RejectionTimeEstimate estimate = new RejectionTimeEstimate();

  @Test
  void firstValueCountsInFullAndLaterOnesMoveIt() {
    assertEquals(0, estimate.nanosToReject(1000));
    estimate.record(1, 50_000);
    assertEquals(50_000_000, estimate.nanosToReject(1000));
    estimate.record(2000, 2000 * 5_000);
    assertEquals(5_000_000.0, (double) estimate.nanosToReject(1000), 1000);
  }

  @Test
  void requestsOfOneCallCountLikeAsManyCalls() {
    RejectionTimeEstimate single = new RejectionTimeEstimate();
    single.record(1, 50_000);
    estimate.record(1, 50_000);
    for (int i = 0; i < 32; i++) {
      single.record(1, 10_000);
    }
    estimate.record(32, 320_000);
    assertEquals((double) single.nanosToReject(1000), (double) estimate.nanosToReject(1000), 1);
  }

  /** One pause of 0.15 s must not make a router reject what it has time to serve. */
  @Test
  void onePauseIsForgottenWithinTwoSecondsOfOrdinaryLoad() {
    estimate.record(1, 50_000);
    estimate.record(1, 150_000_000);
    for (int i = 0; i < 640; i++) {
      estimate.record(1, 50_000);
    }
    assertTrue(estimate.nanosToReject(1) < 55_000, () -> estimate.nanosToReject(1) + " ns");
  }
}
