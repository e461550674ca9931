package rushwood.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class DecimalSecondsTest {
  private static String format(long nanos) {
    StringBuilder text = new StringBuilder();
    DecimalSeconds.appendSeconds(text, nanos);
    return text.toString();
  }

  @Test
  void parsesPlainDecimalsExactly() {
    assertEquals(100_000_001, DecimalSeconds.parseNanos("0.100000001"));
    assertEquals(-1_500_000_000, DecimalSeconds.parseNanos("-1.5"));
    assertEquals(1, DecimalSeconds.parseNanos("0.0000000019"), "dropped digits must not round up");
  }

  @Test
  void parsesOtherNotations() {
    assertEquals(10_000_000_000L, DecimalSeconds.parseNanos("1e1"));
    assertEquals(2_000_000_000L, DecimalSeconds.parseNanos("+2"));
  }

  @Test
  void rejectsTextThatIsNotAFiniteNumber() {
    for (String text : new String[] {"", "-", "1..2", "NaN", "Infinity", "soon"}) {
      assertThrows(NumberFormatException.class, () -> DecimalSeconds.parseNanos(text), text);
    }
  }

  @Test
  void appendsSecondsRoundedUpToMicroseconds() {
    assertEquals("1.000001", format(1_000_000_001));
    assertEquals("0.000000", format(0));
    assertEquals("-0.000001", format(-1_999));
  }
}
