package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Waits for conditions; a wait that exceeds its deadline fails the test. */
final class Await {
  /** Default timeout, long enough that only a test that hangs exceeds it. */
  static final int TIMEOUT_MILLIS = 20_000;

  private static final int POLL_INTERVAL_MILLIS = 5;

  private Await() {}

  /** Waits until the condition holds; {@code failure} supplies the message if it does not. */
  static void until(Callable<Boolean> condition, Supplier<String> failure) throws Exception {
    until(TIMEOUT_MILLIS, condition, failure);
  }

  /** Like {@link #until(Callable, Supplier)}, with the given timeout. */
  static void until(long timeoutMillis, Callable<Boolean> condition, Supplier<String> failure)
      throws Exception {
    long deadline = deadline(timeoutMillis);
    while (!condition.call()) {
      assertTrue(System.nanoTime() < deadline, failure);
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  /**
   * Removes elements from the queue up to the first that matches and returns it. Fails if none
   * matches within {@link #TIMEOUT_MILLIS}, even if other elements arrive.
   */
  static <T> T firstMatch(BlockingQueue<T> queue, Predicate<T> condition)
      throws InterruptedException {
    long deadline = deadline();
    T next;
    do {
      next = queue.poll(deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
      assertNotNull(next, "no matching element arrived in time");
    } while (!condition.test(next));
    return next;
  }

  /** Waits for the thread to terminate. */
  static void termination(Thread thread) throws InterruptedException {
    thread.join(TIMEOUT_MILLIS);
    assertTrue(!thread.isAlive(), () -> thread + " has not terminated");
  }

  /** Returns the deadline of a wait that starts now, in terms of {@link System#nanoTime}. */
  static long deadline() {
    return deadline(TIMEOUT_MILLIS);
  }

  private static long deadline(long timeoutMillis) {
    return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
  }
}
