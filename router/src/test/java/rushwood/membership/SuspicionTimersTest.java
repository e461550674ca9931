package rushwood.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SuspicionTimersTest {
  private static final MembershipSettings SETTINGS = MembershipSettings.defaults();

  @Test
  void suspicionShrinksWithConfirmations() {
    SuspicionTimers timers =
        new SuspicionTimers(
            new LocalMember(new MemberId(0x7f000001, 7000), SimulatedMembers.START),
            SETTINGS,
            new LocalHealth(SETTINGS.maxLocalHealthScore()),
            new MembershipTimers(),
            (now, update) -> {});
    assertEquals(SETTINGS.maxSuspicionNanos(), timers.timeout(0));
    assertEquals(SETTINGS.minSuspicionNanos(), timers.timeout(SETTINGS.maxConfirmations()));
    assertTrue(
        timers.timeout(1) < timers.timeout(0)
            && timers.timeout(1) > timers.timeout(SETTINGS.maxConfirmations()));
  }
}
