package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.Locale;
import java.util.Map;
import rushwood.dispatch.Counter;

/** The counters of a router as returned by {@code SHOW counters}, by name. */
record CounterSnapshot(Map<String, Long> values) {
  long get(Counter counter) {
    Long value = values.get(counter.name().toLowerCase(Locale.ROOT));
    assertNotNull(value, () -> counter + " is not among " + values);
    return value;
  }

  /** Returns how many endpoint lists were applied, both complete lists and updates. */
  long appliedEndpointLists() {
    return get(Counter.ENDPOINT_LISTS_REPLACED) + get(Counter.ENDPOINT_LISTS_UPDATED);
  }
}
