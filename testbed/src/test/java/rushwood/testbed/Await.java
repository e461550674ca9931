package rushwood.testbed;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import rushwood.testbed.load.RouterCluster;

/** Waits for conditions of a {@link RouterCluster}, and fails the test if one takes too long. */
final class Await {
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int MAX_LOAD_SECONDS = 120; // for waits that are limited in requests
  private static final int POLL_INTERVAL_MILLIS = 10;

  private Await() {}

  /**
   * Waits until a condition holds.
   *
   * @param condition evaluated on the cluster's event loop
   * @throws AssertionError with {@code failureMessage} and the first router's log, after 10 s
   */
  static void untilTrue(RouterCluster cluster, Callable<Boolean> condition, String failureMessage)
      throws IOException, InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    while (!cluster.computeOnLoop(condition)) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError(failureMessage + ": " + cluster.members().get(0).process().log());
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  /**
   * Waits until a condition holds, as long as the clients of some router have sent fewer than
   * {@code maxRequests} requests from now on.
   *
   * @param condition evaluated on the cluster's event loop
   * @throws AssertionError with {@code failureMessage} and the first router's log otherwise
   */
  static void untilTrueWithinRequests(
      RouterCluster cluster, int maxRequests, Callable<Boolean> condition, String failureMessage)
      throws IOException, InterruptedException {
    long[] sentBefore = cluster.computeOnLoop(() -> requestsSent(cluster));
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_LOAD_SECONDS);
    while (!cluster.computeOnLoop(condition)) {
      boolean isOver = cluster.computeOnLoop(() -> haveAllSent(cluster, sentBefore, maxRequests));
      if (isOver || System.nanoTime() > deadline) {
        throw new AssertionError(failureMessage + ": " + cluster.members().get(0).process().log());
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  private static boolean haveAllSent(RouterCluster cluster, long[] sentBefore, int count) {
    long[] sent = requestsSent(cluster);
    return IntStream.range(0, sent.length).allMatch(i -> sent[i] >= sentBefore[i] + count);
  }

  /** Waits until the clients of every router have sent {@code count} requests from now on. */
  static void untilRequestsSentToEachRouter(RouterCluster cluster, int count)
      throws IOException, InterruptedException {
    long[] sentBefore = cluster.computeOnLoop(() -> requestsSent(cluster));
    untilTrue(
        cluster,
        () -> haveAllSent(cluster, sentBefore, count),
        "the clients of some router have not sent " + count + " requests");
  }

  private static long[] requestsSent(RouterCluster cluster) {
    return cluster.members().stream().mapToLong(member -> member.load().requestsSent()).toArray();
  }
}
