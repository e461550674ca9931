package rushwood.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SuspicionTimersTest {
  private static final MembershipSettings SETTINGS = MembershipSettings.defaults();

  @Test
  void timeoutShrinksWithConfirmations() {
    SuspicionTimers timers =
        new SuspicionTimers(
            new LocalMember(new MemberId(0x7f000001, 7000), SimulatedMembers.START),
            SETTINGS,
            new LocalHealth(SETTINGS.maxLocalHealthScore()),
            new MembershipTimers(),
            (now, update) -> {});
    assertEquals(SETTINGS.maxSuspicionNanos(), timers.timeoutNanos(0));
    assertEquals(SETTINGS.minSuspicionNanos(), timers.timeoutNanos(SETTINGS.maxConfirmations()));
    assertTrue(
        timers.timeoutNanos(1) < timers.timeoutNanos(0)
            && timers.timeoutNanos(1) > timers.timeoutNanos(SETTINGS.maxConfirmations()));
  }
}
