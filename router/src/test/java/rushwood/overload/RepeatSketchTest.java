package rushwood.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RepeatSketchTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** No count is too low, and at most one fingerprint in a hundred has a count that is too high. */
  @Test
  void sketchNeverCountsFewerThanExactMap() {
    RepeatSketch sketch = new RepeatSketch(1 << 14, 1000 * NANOS_PER_MILLI);
    Map<Long, Integer> exact = new HashMap<>();
    SplittableRandom random = new SplittableRandom(3);
    for (int i = 0; i < 10_000; i++) {
      long fingerprint = random.nextLong(8_000);
      sketch.add(fingerprint, 500 * NANOS_PER_MILLI);
      exact.merge(fingerprint, 1, Integer::sum);
    }
    int overcounted = 0;
    for (long fingerprint = 0; fingerprint < 100_000; fingerprint++) {
      int expected = exact.getOrDefault(fingerprint, 0);
      int counted = sketch.count(fingerprint, 600 * NANOS_PER_MILLI);
      assertTrue(counted >= expected, "a count must not be too low");
      overcounted += counted > expected ? 1 : 0;
    }
    assertTrue(
        overcounted < 100_000 / 100, overcounted + " fingerprints with a count that is too high");
    assertEquals(1 << 17, sketch.memoryBytes());
    assertTrue(
        sketch.count(exact.keySet().iterator().next(), 1600 * NANOS_PER_MILLI) > 0,
        "still counted one span later");
    assertEquals(
        0,
        sketch.count(exact.keySet().iterator().next(), 2700 * NANOS_PER_MILLI),
        "not counted after two spans");
  }

  @Test
  void sketchIsEmptyAfterLongPauseAndSaturates() {
    RepeatSketch sketch = new RepeatSketch(64, 100 * NANOS_PER_MILLI);
    sketch.add(1, 0);
    assertEquals(1, sketch.count(1, 150 * NANOS_PER_MILLI));
    assertEquals(0, sketch.count(1, 100_000 * NANOS_PER_MILLI));
    for (int i = 0; i < 1000; i++) {
      sketch.add(7, 100_000 * NANOS_PER_MILLI);
    }
    assertEquals(254, sketch.count(7, 100_000 * NANOS_PER_MILLI), "counts saturate");
  }
}
