package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class DecayingMaximumTest {
  private final DecayingMaximum maximum = new DecayingMaximum(10);

  @Test
  void isZeroWithoutRecordedValues() {
    assertEquals(0, maximum.at(100));
  }

  @Test
  void halvesWithEachHalfLife() {
    maximum.record(800, 100);
    assertEquals(800, maximum.at(100));
    assertEquals(400, maximum.at(110));
    assertEquals(100, maximum.at(130));
  }

  @Test
  void valueReplacesMaximumDecayedBelowIt() {
    maximum.record(800, 0);
    maximum.record(300, 10);
    assertEquals(400, maximum.at(10));
    maximum.record(300, 20);
    assertEquals(300, maximum.at(20));
  }
}
