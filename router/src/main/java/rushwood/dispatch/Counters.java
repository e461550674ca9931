package rushwood.dispatch;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Counts what is taken in, sent and answered. */
public final class Counters {
  private final Map<Counter, long[]> counts = new EnumMap<>(Counter.class);

  private final Map<String, LongSupplier> registered = new LinkedHashMap<>();
  private Consumer<Throwable> exceptionListener = thrown -> {};

  public Counters() {
    for (Counter counter : Counter.values()) {
      counts.put(counter, new long[1]);
    }
  }

  public void increment(Counter counter) {
    counts.get(counter)[0]++;
  }

  public long get(Counter counter) {
    return counts.get(counter)[0];
  }

  /** What must hold: asserted in debug builds, counted in release. */
  public boolean checkInvariant(boolean condition, String invariant) {
    assert condition : invariant;
    if (!condition) {
      increment(Counter.INVARIANTS_VIOLATED);
    }
    return condition;
  }

  /** Whoever is to hear of what {@link #safely} caught. */
  public void onException(Consumer<Throwable> listener) {
    exceptionListener = listener;
  }

  /** Runs what must not take others with it: what it throws ends it alone, is counted and told. */
  public boolean runSafely(Runnable task) {
    try {
      task.run();
      return true;
    } catch (RuntimeException | OutOfMemoryError e) {
      increment(Counter.EXCEPTIONS_CAUGHT);
      exceptionListener.accept(e);
      return false;
    }
  }

  /** A count that another part keeps. */
  public void register(String name, LongSupplier value) {
    registered.put(name, value);
  }

  /** Every counter by its name in lower case, in order. */
  public void forEach(BiConsumer<String, Long> reader) {
    counts.forEach(
        (count, value) -> reader.accept(count.name().toLowerCase(Locale.ROOT), value[0]));
    registered.forEach((name, count) -> reader.accept(name, count.getAsLong()));
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    forEach(
        (name, value) ->
            text.append(text.length() == 0 ? "" : " ").append(name).append('=').append(value));
    return text.toString();
  }
}
