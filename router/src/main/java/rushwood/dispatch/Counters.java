package rushwood.dispatch;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The counters of one router, and the guards that count faults of the program instead of letting
 * them end it. Used on the event loop's thread only.
 */
public final class Counters {
  private final long[] counts = new long[Counter.values().length];
  private final Map<String, LongSupplier> registered = new LinkedHashMap<>();
  private Consumer<Throwable> exceptionListener = thrown -> {};

  /** Adds one to a counter. */
  public void increment(Counter counter) {
    counts[counter.ordinal()]++;
  }

  /** The value of a counter. */
  public long get(Counter counter) {
    return counts[counter.ordinal()];
  }

  /** Lists a value that another component keeps, after the counters and under the given name. */
  public void register(String name, LongSupplier value) {
    registered.put(name, value);
  }

  /**
   * Checks what must hold wherever the program is right. With assertions enabled, as in tests, a
   * violation is thrown; else it is counted and the caller goes on.
   *
   * @return whether the condition holds
   */
  public boolean checkInvariant(boolean condition, String invariant) {
    assert condition : invariant;
    if (!condition) {
      increment(Counter.INVARIANTS_VIOLATED);
    }
    return condition;
  }

  /** Sets the listener that is told of each exception that {@link #runSafely} caught. */
  public void setExceptionListener(Consumer<Throwable> listener) {
    exceptionListener = listener;
  }

  /**
   * Runs a task whose failure must not end anything else: a RuntimeException or an OutOfMemoryError
   * is counted and reported; what else it throws is thrown on.
   *
   * @return whether the task returned without an exception
   */
  public boolean runSafely(Runnable task) {
    return runSafely(Runnable::run, task);
  }

  /** Like {@link #runSafely(Runnable)}, for a task that takes an argument. */
  <T> boolean runSafely(Consumer<T> task, T argument) {
    try {
      task.accept(argument);
      return true;
    } catch (RuntimeException | OutOfMemoryError e) {
      // Any fault of the program in the task, and a buffer that cannot be allocated, for which
      // Netty
      // throws an OutOfMemoryError of its own: other requests go on.
      increment(Counter.EXCEPTIONS_CAUGHT);
      exceptionListener.accept(e);
      return false;
    }
  }

  /** Passes each counter's name in lower case and its value to the reader, in a fixed order. */
  public void forEach(BiConsumer<String, Long> reader) {
    for (Counter counter : Counter.values()) {
      reader.accept(counter.name().toLowerCase(Locale.ROOT), get(counter));
    }
    registered.forEach((name, value) -> reader.accept(name, value.getAsLong()));
  }

  /** All counters as {@code name=value}, separated by spaces. */
  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    forEach(
        (name, value) -> {
          String separator = text.isEmpty() ? "" : " ";
          text.append(separator).append(name).append('=').append(value);
        });
    return text.toString();
  }
}
