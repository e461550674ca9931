package rushwood.testbed.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rushwood.dispatch.Counter;

class RouterCountersTest {
  @Test
  void parsesLastCounterLineOnly() {
    String log = "INFO counters probes_sent=1\nINFO r0 serves\nINFO counters probes_sent=7 a=0\n";
    assertEquals(Map.of("probes_sent", 7L, "a", 0L), RouterCounters.parse(log));
    assertEquals(Map.of(), RouterCounters.parse("INFO r0 serves\n"));
  }

  @Test
  void translatesFormerNames() {
    assertEquals(
        Map.of("requests_rejected", 2L, "attempts_not_sent", 3L, "overload_reserved", 4L),
        RouterCounters.parse("INFO counters accesses_turned_back=2 shots_unsent=3 storm_booked=4"));
  }

  @Test
  void keepsCurrentNames() {
    Map<String, Long> expected = new LinkedHashMap<>();
    StringBuilder line = new StringBuilder("INFO counters");
    for (Counter counter : Counter.values()) {
      String name = counter.name().toLowerCase(Locale.ROOT);
      expected.put(name, (long) counter.ordinal());
      line.append(' ').append(name).append('=').append(counter.ordinal());
    }
    assertEquals(expected, RouterCounters.parse(line.toString()));
  }
}
