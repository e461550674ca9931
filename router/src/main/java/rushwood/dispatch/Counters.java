package rushwood.dispatch;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The counters of one router. Also checks invariants and runs tasks so that a bug is counted
 * instead of ending the process. Used on the event loop's thread only.
 */
public final class Counters {
  private final long[] counts = new long[Counter.values().length];
  private final Map<String, LongSupplier> registered = new LinkedHashMap<>();
  private Consumer<Throwable> exceptionListener = thrown -> {};

  /** Increments a counter by one. */
  public void increment(Counter counter) {
    counts[counter.ordinal()]++;
  }

  /** Returns the value of a counter. */
  public long get(Counter counter) {
    return counts[counter.ordinal()];
  }

  /** Adds a value of another component, which is listed after the counters under the given name. */
  public void register(String name, LongSupplier value) {
    registered.put(name, value);
  }

  /**
   * Checks an invariant. With assertions enabled, as in tests, a violation throws an {@link
   * AssertionError}; otherwise it is counted and the caller has to handle it.
   *
   * @param invariant what the condition means, the message of the error
   * @return whether the condition holds
   */
  public boolean checkInvariant(boolean condition, String invariant) {
    assert condition : invariant;
    if (!condition) {
      increment(Counter.INVARIANTS_VIOLATED);
    }
    return condition;
  }

  /** Sets the listener that receives each exception caught by {@link #runSafely}. */
  public void setExceptionListener(Consumer<Throwable> listener) {
    exceptionListener = listener;
  }

  /**
   * Runs a task in isolation: a {@link RuntimeException} or an {@link OutOfMemoryError} is counted
   * and reported to the exception listener; any other error propagates to the caller.
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
      // A bug in the task, or a buffer that could not be allocated, for which Netty throws a
      // subclass of OutOfMemoryError. Other requests are not affected.
      increment(Counter.EXCEPTIONS_CAUGHT);
      exceptionListener.accept(e);
      return false;
    }
  }

  /**
   * Passes the name and the value of each counter to the reader: first each {@link Counter} in its
   * order, by its name in lower case, then the registered values in the order of their
   * registration.
   */
  public void forEach(BiConsumer<String, Long> reader) {
    for (Counter counter : Counter.values()) {
      reader.accept(counter.name().toLowerCase(Locale.ROOT), get(counter));
    }
    registered.forEach((name, value) -> reader.accept(name, value.getAsLong()));
  }

  /** Returns all counters as {@code name=value}, separated by spaces. */
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
