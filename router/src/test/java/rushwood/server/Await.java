package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Waits for a condition, each with a deadline by which the test fails. */
final class Await {
  /** The deadline where a test names none: until a test that hangs fails. */
  static final int TIMEOUT_MILLIS = 20_000;

  /** Between two looks at a condition. */
  private static final int POLL_INTERVAL_MILLIS = 5;

  private Await() {}

  /** Waits until the condition holds; {@code failure} describes why it does not. */
  static void until(Callable<Boolean> condition, Supplier<String> failure) throws Exception {
    until(TIMEOUT_MILLIS, condition, failure);
  }

  /** Like {@link #until(Callable, Supplier)}, with a deadline of its own. */
  static void until(long timeoutMillis, Callable<Boolean> condition, Supplier<String> failure)
      throws Exception {
    long deadline = deadline(timeoutMillis);
    while (!condition.call()) {
      assertTrue(System.nanoTime() < deadline, failure);
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  /**
   * Removes elements from the queue up to the first that matches and returns it; fails if it has
   * not come within {@link #TIMEOUT_MILLIS}, however many others have.
   */
  static <T> T first(BlockingQueue<T> queue, Predicate<T> condition) throws InterruptedException {
    long deadline = deadline();
    T next;
    do {
      next = queue.poll(deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
      assertNotNull(next, "nothing that matches came");
    } while (!condition.test(next));
    return next;
  }

  /** Waits for the thread's end. */
  static void end(Thread thread) throws InterruptedException {
    thread.join(TIMEOUT_MILLIS);
    assertTrue(!thread.isAlive(), () -> thread + " has not ended");
  }

  /** When a wait that begins now has failed, on the clock of {@link System#nanoTime}. */
  static long deadline() {
    return deadline(TIMEOUT_MILLIS);
  }

  private static long deadline(long timeoutMillis) {
    return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
  }
}
