package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.Locale;
import java.util.Map;
import rushwood.dispatch.Counter;

/** The counters of a router as returned by {@code SHOW counters}, by name. */
record CounterSnapshot(Map<String, Long> values) {
  long get(Counter counter) {
    return value(counter.name().toLowerCase(Locale.ROOT));
  }

  /** Returns the value with this name, which need not be that of a {@link Counter}. */
  long value(String name) {
    Long value = values.get(name);
    assertNotNull(value, () -> name + " is not among " + values);
    return value;
  }

  /** Returns how many endpoint lists were applied, both complete lists and updates. */
  long appliedEndpointLists() {
    return get(Counter.ENDPOINT_LISTS_REPLACED) + get(Counter.ENDPOINT_LISTS_UPDATED);
  }
}
