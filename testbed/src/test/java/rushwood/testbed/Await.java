package rushwood.testbed;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import rushwood.testbed.load.RouterCluster;

/** Waits for a condition of a cluster, with a deadline by which the test fails. */
final class Await {
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int POLL_INTERVAL_MILLIS = 10;

  private Await() {}

  /** Waits until the condition holds, which is looked at on the cluster's loop. */
  static void onLoop(RouterCluster cluster, Callable<Boolean> condition, String failure)
      throws IOException, InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    while (!cluster.computeOnLoop(condition)) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError(failure + ": " + cluster.members().get(0).process().log());
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  /** Waits until the clients of every router have sent that many requests since now. */
  static void requestsOfEachRouter(RouterCluster cluster, int count)
      throws IOException, InterruptedException {
    long[] before = cluster.computeOnLoop(() -> sentOf(cluster));
    onLoop(
        cluster,
        () -> {
          long[] sent = sentOf(cluster);
          for (int i = 0; i < sent.length; i++) {
            if (sent[i] < before[i] + count) {
              return false;
            }
          }
          return true;
        },
        "the clients of a router have not sent " + count + " requests");
  }

  private static long[] sentOf(RouterCluster cluster) {
    return cluster.members().stream().mapToLong(member -> member.load().sent()).toArray();
  }
}
