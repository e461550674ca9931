package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;

/**
 * A fixture whose tests start the router process themselves, with the stand-ins running and the
 * port known before.
 */
abstract class UnstartedRouterFixture extends RouterProcessFixture {
  /**
   * From SIGTERM to SIGKILL: the longest request timeout of the settings, 5 s, counts as 3 s; 0.7 s
   * are added.
   */
  private static final long MAX_EXIT_MILLIS = 3700;

  private int listenPort;

  @Override
  int listenPort() {
    return listenPort;
  }

  @Override
  @BeforeEach
  void startRouter() throws Exception {
    try (ServerSocket free = new ServerSocket(0)) {
      listenPort = free.getLocalPort();
    }
    port = listenPort;
    startStandIns();
  }

  void launchAndAwaitReady() throws Exception {
    launchProcess();
    awaitLogLine("serves at");
  }

  void assertExitsInTime(long signalledAt) throws InterruptedException {
    assertTrue(process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    long elapsedMillis = (System.nanoTime() - signalledAt) / 1_000_000;
    assertTrue(
        elapsedMillis < MAX_EXIT_MILLIS,
        () -> "it ended after " + elapsedMillis + " ms: " + processOutput);
  }
}
