package rushwood.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class MembershipSettingsTest {
  @Test
  void exceptionNamesTheInvalidParameter() {
    InvalidSettingException thrown =
        assertThrows(
            InvalidSettingException.class,
            () -> new MembershipSettings(100, 200, 3, 1_000, 3_000, 3, 4, 30_000, 1_000, 8));
    assertEquals("ackTimeoutNanos", thrown.field());
    assertEquals(
        "ackTimeoutNanos must be positive and less than probePeriodNanos", thrown.getMessage());
  }
}
